#include "libapricot/endpoint.h"

#include "libapricot/namecheck.h"

#include <charconv>

namespace Apricot {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint { .address = std::string(text.substr(0, colon)) };
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc() || end != port.data() + port.size() || !isValidAddress(endpoint.address))
        return std::nullopt;
    return endpoint;
}

std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const std::optional<Endpoint> endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint)
            return std::nullopt;
        endpoints.push_back(*endpoint);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return endpoints;
}

std::string toText(const Endpoint& endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

}
