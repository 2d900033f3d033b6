#include "libnet/messagehead.h"

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

    // Reason why a message is rejected, or nothing.
    using HeadError = std::optional<std::string_view>;

    // Checks a line after the first one, and passes its name and value on to a check of the field.
    template <typename FieldCheck>
    HeadError findFieldLineError(std::string_view line, FieldCheck& findFieldError)
    {
        if (isSpace(line.front()))
            return "folded header line";
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return "header line without a name";
        const std::string_view name = line.substr(0, colon);
        if (isSpace(name.back()))
            return "whitespace before the colon of a header line";
        return findFieldError(name, trim(line.substr(colon + 1)));
    }

    // Checks the lines of a header up to its empty line.
    template <typename FieldCheck>
    HeadError findLineError(std::string_view head, FieldCheck findFieldError)
    {
        bool isFirstLine = true;
        while (true) {
            const std::size_t end = head.find(lineEnd);
            if (end == std::string_view::npos)
                return "header without an empty line at its end";
            const std::string_view line = head.substr(0, end);
            head.remove_prefix(end + lineEnd.size());
            if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
                return "control character within a header line";
            if (line.empty())
                return isFirstLine ? HeadError("empty first line") : std::nullopt;
            if (!isFirstLine) {
                if (const HeadError error = findFieldLineError(line, findFieldError))
                    return error;
            }
            isFirstLine = false;
        }
    }

    HeadError findTransferCodingError(std::string_view coding)
    {
        if (!boost::beast::iequals(coding, "chunked"))
            return "unsupported transfer coding, expected chunked";
        return std::nullopt;
    }

    HeadError findRequestFieldError(std::string_view name, std::string_view value, FramingFields& fields)
    {
        if (boost::beast::iequals(name, "host"))
            ++fields.hostFields;
        if (boost::beast::iequals(name, "content-length")) {
            ++fields.contentLengthFields;
            if (!isDecimalNumber(value))
                return "content length is not a decimal number";
        }
        if (boost::beast::iequals(name, "transfer-encoding")) {
            ++fields.transferEncodingFields;
            return findTransferCodingError(value);
        }
        return std::nullopt;
    }

}

std::optional<std::string_view> findRequestHeadError(std::string_view head)
{
    FramingFields fields;
    const HeadError error = findLineError(head, [&fields](std::string_view name, std::string_view value) {
        return findRequestFieldError(name, value, fields);
    });
    if (error)
        return error;
    if (fields.hostFields != 1)
        return "missing or repeated host field";
    if (fields.contentLengthFields + fields.transferEncodingFields > 1)
        return "several body lengths";
    return std::nullopt;
}

std::optional<std::string_view> findResponseHeadError(std::string_view head)
{
    // The parser checks the lengths of the body.
    int codings = 0;
    return findLineError(head, [&codings](std::string_view name, std::string_view value) -> HeadError {
        if (!boost::beast::iequals(name, "transfer-encoding"))
            return std::nullopt;
        return ++codings > 1 ? "several transfer codings" : findTransferCodingError(value);
    });
}

bool isFinalStatus(int status)
{
    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;
    return status >= firstFinalStatus && status <= lastStatus;
}

}
