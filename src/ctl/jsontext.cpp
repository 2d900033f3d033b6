#include "ctl/jsontext.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Apricot {

namespace {

    constexpr std::size_t indentWidth = 2;

    void writePretty(const boost::json::value& value, std::size_t depth, std::string& text);

    void writeObject(const boost::json::object& object, std::size_t depth, std::string& text)
    {
        const std::string indent((depth + 1) * indentWidth, ' ');
        std::string separator = "{\n";
        for (const boost::json::key_value_pair& field : object) {
            text += separator + indent + boost::json::serialize(boost::json::string(field.key()))
                + ": ";
            writePretty(field.value(), depth + 1, text);
            separator = ",\n";
        }
        text += "\n" + std::string(depth * indentWidth, ' ') + "}";
    }

    void writeArray(const boost::json::array& array, std::size_t depth, std::string& text)
    {
        const std::string indent((depth + 1) * indentWidth, ' ');
        std::string separator = "[\n";
        for (const boost::json::value& element : array) {
            text += separator + indent;
            writePretty(element, depth + 1, text);
            separator = ",\n";
        }
        text += "\n" + std::string(depth * indentWidth, ' ') + "]";
    }

    void writePretty(const boost::json::value& value, std::size_t depth, std::string& text)
    {
        if (value.is_object() && !value.get_object().empty())
            writeObject(value.get_object(), depth, text);
        else if (value.is_array() && !value.get_array().empty())
            writeArray(value.get_array(), depth, text);
        else
            text += boost::json::serialize(value);
    }

    using Differences = std::vector<JsonDifference>;

    void compareValues(const std::string& path, const boost::json::value* before,
        const boost::json::value* after, Differences& differences);

    void compareObjects(const std::string& path, const boost::json::object& before,
        const boost::json::object& after, Differences& differences)
    {
        for (const boost::json::key_value_pair& field : before) {
            compareValues(path + "." + std::string(field.key()), &field.value(),
                after.if_contains(field.key()), differences);
        }
        for (const boost::json::key_value_pair& field : after) {
            if (!before.contains(field.key())) {
                compareValues(path + "." + std::string(field.key()), nullptr, &field.value(),
                    differences);
            }
        }
    }

    void compareArrays(const std::string& path, const boost::json::array& before,
        const boost::json::array& after, Differences& differences)
    {
        for (std::size_t index = 0; index < std::max(before.size(), after.size()); ++index) {
            compareValues(path + "[" + std::to_string(index) + "]", before.if_contains(index),
                after.if_contains(index), differences);
        }
    }

    void compareValues(const std::string& path, const boost::json::value* before,
        const boost::json::value* after, Differences& differences)
    {
        const bool areBothPresent = before != nullptr && after != nullptr;
        if (areBothPresent && *before == *after)
            return;
        if (areBothPresent && before->is_object() && after->is_object())
            return compareObjects(path, before->get_object(), after->get_object(), differences);
        if (areBothPresent && before->is_array() && after->is_array())
            return compareArrays(path, before->get_array(), after->get_array(), differences);
        differences.push_back({ path, before == nullptr ? "" : boost::json::serialize(*before),
            after == nullptr ? "" : boost::json::serialize(*after) });
    }

}

std::string prettyJson(const boost::json::value& value)
{
    std::string text;
    writePretty(value, 0, text);
    return text;
}

std::vector<JsonDifference> jsonDifferences(
    const boost::json::value& before, const boost::json::value& after)
{
    Differences differences;
    compareValues("$", &before, &after, differences);
    return differences;
}

}
