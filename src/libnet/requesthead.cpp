#include "libnet/requesthead.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>

namespace Apricot {

namespace {

    constexpr std::string_view lineEnd = "\r\n";

    struct FramingFields {
        int hostFields = 0;
        int contentLengthFields = 0;
        int transferEncodingFields = 0;
    };

    bool isSpace(char character) { return character == ' ' || character == '\t'; }

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && isSpace(text.front()))
            text.remove_prefix(1);
        while (!text.empty() && isSpace(text.back()))
            text.remove_suffix(1);
        return text;
    }

    bool isDecimalNumber(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
            return std::isdigit(character) != 0;
        });
    }

    std::optional<std::string_view> findFieldLineError(std::string_view line, FramingFields& fields)
    {
        if (isSpace(line.front()))
            return "folded header line";
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return "header line without a name";
        const std::string_view name = line.substr(0, colon);
        if (isSpace(name.back()))
            return "whitespace before the colon of a header line";
        const std::string_view value = trim(line.substr(colon + 1));
        if (boost::beast::iequals(name, "host"))
            ++fields.hostFields;
        if (boost::beast::iequals(name, "content-length")) {
            ++fields.contentLengthFields;
            if (!isDecimalNumber(value))
                return "content length is not a decimal number";
        }
        if (boost::beast::iequals(name, "transfer-encoding")) {
            ++fields.transferEncodingFields;
            if (!boost::beast::iequals(value, "chunked"))
                return "unsupported transfer coding, expected chunked";
        }
        return std::nullopt;
    }

}

std::optional<std::string_view> findHeaderError(std::string_view head)
{
    FramingFields fields;
    bool isRequestLine = true;
    while (true) {
        const std::size_t end = head.find(lineEnd);
        if (end == std::string_view::npos)
            return "header without an empty line at its end";
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + lineEnd.size());
        if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
            return "control character within a header line";
        if (line.empty())
            break;
        if (!isRequestLine) {
            if (const auto error = findFieldLineError(line, fields))
                return error;
        }
        isRequestLine = false;
    }
    if (isRequestLine)
        return "empty request line";
    if (fields.hostFields != 1)
        return "missing or repeated host field";
    if (fields.contentLengthFields + fields.transferEncodingFields > 1)
        return "several body lengths";
    return std::nullopt;
}

}
