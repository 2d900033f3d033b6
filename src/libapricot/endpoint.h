#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Address and port on which a process listens.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(address, port); }
};

// Parses ADDRESS:PORT. Returns nullopt for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view text);
// Parses a comma-separated list of endpoints. An empty text gives an empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);
// Formats an endpoint as ADDRESS:PORT.
std::string toText(const Endpoint& endpoint);

}
