#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Where a process listens.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(address, port); }
};

// Reads ADDRESS:PORT; nothing for another text.
std::optional<Endpoint> parseEndpoint(std::string_view text);
// Reads a list with commas between; an empty text is an empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);
// Text ADDRESS:PORT.
std::string toText(const Endpoint& endpoint);

}
