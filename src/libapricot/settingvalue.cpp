#include "libapricot/settingvalue.h"

#include "libapricot/endpoint.h"
#include "libapricot/namecheck.h"

#include <array>
#include <charconv>
#include <sstream>
#include <type_traits>

namespace Apricot {

namespace {

    constexpr std::array<std::string_view, 4> logLevelNames { "debug", "info", "warning",
        "error" };

    template <typename Number>
    bool parseNumber(std::string_view text, const NumberRange<double>& range, Number& number)
    {
        Number parsed {};
        const char* end = text.data() + text.size();
        const auto [parsedEnd, error] = std::from_chars(text.data(), end, parsed);
        if (error != std::errc() || parsedEnd != end)
            return false;
        const auto asDouble = static_cast<double>(parsed);
        if (!(asDouble >= range.minimum && asDouble <= range.maximum))
            return false;
        number = parsed;
        return true;
    }

    bool isAllowedText(TextFormat format, const std::string& text)
    {
        switch (format) {
        case TextFormat::Name:
            return isValidName(text);
        case TextFormat::Address:
            return isValidAddress(text);
        case TextFormat::Path:
            return true;
        case TextFormat::Endpoint:
            return parseEndpoint(text).has_value();
        case TextFormat::EndpointList:
            return parseEndpoints(text).has_value();
        }
        return false;
    }

    // Parses a text into the visited target.
    struct Assigner {
        const SettingSpec& spec;
        std::string_view text;

        bool operator()(std::string* target) const
        {
            std::string value(text);
            if (!isAllowedText(spec.format, value))
                return false;
            *target = std::move(value);
            return true;
        }
        template <typename Tag>
        bool operator()(Identifier<Tag>* target) const
        {
            if (!isValidName(text))
                return false;
            *target = Identifier<Tag>(std::string(text));
            return true;
        }
        bool operator()(bool* target) const
        {
            if (text != "true" && text != "false")
                return false;
            *target = text == "true";
            return true;
        }
        bool operator()(Milliseconds* target) const
        {
            Milliseconds::rep count = 0;
            if (!parseNumber(text, spec.range, count))
                return false;
            *target = Milliseconds(count);
            return true;
        }
        bool operator()(LogLevel* target) const
        {
            for (std::size_t index = 0; index < logLevelNames.size(); ++index) {
                if (logLevelNames.at(index) == text) {
                    *target = static_cast<LogLevel>(index);
                    return true;
                }
            }
            return false;
        }
        template <typename Number>
        bool operator()(Number* target) const
        {
            return parseNumber(text, spec.range, *target);
        }
    };

    std::string describeRange(std::string_view typeName, const NumberRange<double>& range)
    {
        std::ostringstream text;
        text.precision(15);
        text << typeName << " from " << range.minimum << " to " << range.maximum;
        return text.str();
    }

    std::string describeText(TextFormat format)
    {
        switch (format) {
        case TextFormat::Address:
            return std::string(allowedAddress);
        case TextFormat::Path:
            return "a file name, or nothing";
        case TextFormat::Endpoint:
            return "ADDRESS:PORT";
        case TextFormat::EndpointList:
            return "ADDRESS:PORT, any number of them with commas between";
        case TextFormat::Name:
            break;
        }
        return std::string(allowedName);
    }

    struct Describer {
        const SettingSpec& spec;

        std::string operator()(const std::string* /*target*/) const
        {
            return describeText(spec.format);
        }
        template <typename Tag>
        std::string operator()(const Identifier<Tag>* /*target*/) const
        {
            return describeText(TextFormat::Name);
        }
        std::string operator()(const bool* /*target*/) const { return "true or false"; }
        std::string operator()(const double* /*target*/) const
        {
            return describeRange("a number", spec.range);
        }
        std::string operator()(const Milliseconds* /*target*/) const
        {
            return describeRange("a whole number of milliseconds, without a unit,", spec.range);
        }
        std::string operator()(const LogLevel* /*target*/) const
        {
            return "debug, info, warning or error";
        }
        template <typename Number>
        std::string operator()(const Number* /*target*/) const
        {
            return describeRange("a whole number", spec.range);
        }
    };

    struct Formatter {
        std::string operator()(const std::string* target) const { return *target; }
        template <typename Tag>
        std::string operator()(const Identifier<Tag>* target) const
        {
            return target->value();
        }
        std::string operator()(const bool* target) const { return *target ? "true" : "false"; }
        std::string operator()(const double* target) const
        {
            std::ostringstream text;
            text << *target;
            return text.str();
        }
        std::string operator()(const Milliseconds* target) const
        {
            return std::to_string(target->count());
        }
        std::string operator()(const LogLevel* target) const
        {
            return std::string(logLevelName(*target));
        }
        template <typename Number>
        std::string operator()(const Number* target) const
        {
            return std::to_string(*target);
        }
    };

}

bool assignSetting(const SettingSpec& spec, const SettingTarget& target, std::string_view text)
{
    return std::visit(Assigner { spec, text }, target);
}

std::string allowedValues(const SettingSpec& spec, const SettingTarget& target)
{
    return std::visit(Describer { spec }, target);
}

std::string_view settingUnit(const SettingSpec& spec, const SettingTarget& target)
{
    if (std::holds_alternative<Milliseconds*>(target))
        return "ms";
    if (std::holds_alternative<std::size_t*>(target) && spec.key.ends_with("_bytes"))
        return "bytes";
    return "";
}

std::string settingText(const SettingTarget& target)
{
    return std::visit(Formatter {}, target);
}

std::string_view logLevelName(LogLevel level)
{
    return logLevelNames.at(static_cast<std::size_t>(level));
}

}
