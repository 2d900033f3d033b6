#include "libnet/httpclient.h"
#include "libnet/httpserver.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdlib>

namespace Apricot {

namespace {

    constexpr int hexBase = 16;

    std::string_view findField(const std::vector<HttpField>& fields, std::string_view name)
    {
        const auto found
            = std::find_if(fields.begin(), fields.end(), [name](const HttpField& field) {
                  return boost::beast::iequals(field.name, name);
              });
        return found == fields.end() ? std::string_view() : std::string_view(found->value);
    }

}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            const std::string digits(text.substr(index + 1, 2));
            decoded.push_back(
                static_cast<char>(std::strtol(digits.c_str(), nullptr, hexBase)));
            index += 2;
            continue;
        }
        decoded.push_back(text[index] == '+' ? ' ' : text[index]);
    }
    return decoded;
}

std::string_view HttpRequest::field(std::string_view name) const
{
    return findField(fields, name);
}

std::string HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (decodePercent(pair.substr(0, equals)) == name)
            return decodePercent(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string_view HttpResponseHead::field(std::string_view name) const
{
    return findField(fields, name);
}

}
