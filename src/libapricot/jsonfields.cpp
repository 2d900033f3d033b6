#include "libapricot/jsonfields.h"

#include "libapricot/namecheck.h"

#include <algorithm>
#include <sstream>

namespace Apricot {

namespace {

    template <typename Number>
    std::string describeRange(std::string_view typeName, const NumberRange<Number>& range)
    {
        std::ostringstream text;
        text.precision(12);
        text << typeName << " from " << range.minimum << " to " << range.maximum;
        return text.str();
    }

    std::string describeChoices(const std::vector<std::string_view>& choices)
    {
        std::string text = "one of";
        std::string_view separator = " ";
        for (const std::string_view choice : choices) {
            text.append(separator).append("\"").append(choice).append("\"");
            separator = ", ";
        }
        return text;
    }

}

CatalogueError::CatalogueError(std::string path, std::string allowed)
    : std::runtime_error(path + ": " + allowed)
    , m_path(std::move(path))
    , m_allowed(std::move(allowed))
{
}

JsonFields::JsonFields(const boost::json::value& value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (m_object == nullptr)
        throw CatalogueError(m_path, "must be a JSON object");
}

std::string JsonFields::pathOf(std::string_view key) const
{
    return m_path + "." + std::string(key);
}

bool JsonFields::has(std::string_view key) const
{
    return m_object->contains(key);
}

const boost::json::value& JsonFields::value(std::string_view key)
{
    m_readFields.emplace(key);
    const boost::json::value* found = m_object->if_contains(key);
    if (found == nullptr)
        throw CatalogueError(pathOf(key), "is missing");
    return *found;
}

std::string JsonFields::text(std::string_view key, const std::string& allowed)
{
    const boost::json::string* found = value(key).if_string();
    if (found == nullptr)
        throw CatalogueError(pathOf(key), "must be " + allowed);
    return { found->data(), found->size() };
}

std::string JsonFields::name(std::string_view key)
{
    const std::string allowed(allowedName);
    std::string found = text(key, allowed);
    if (!isValidName(found))
        throw CatalogueError(pathOf(key), "must be " + allowed);
    return found;
}

std::string JsonFields::address(std::string_view key)
{
    const std::string allowed(allowedAddress);
    std::string found = text(key, allowed);
    if (!isValidAddress(found))
        throw CatalogueError(pathOf(key), "must be " + allowed);
    return found;
}

std::int64_t JsonFields::integer(std::string_view key, NumberRange<std::int64_t> range)
{
    const boost::json::value& found = value(key);
    const std::int64_t* number = found.if_int64();
    if (number == nullptr || *number < range.minimum || *number > range.maximum)
        throw CatalogueError(pathOf(key), "must be " + describeRange("a whole number", range));
    return *number;
}

double JsonFields::number(std::string_view key, NumberRange<double> range)
{
    const boost::json::value& found = value(key);
    if (!found.is_number())
        throw CatalogueError(pathOf(key), "must be " + describeRange("a number", range));
    const auto number = found.to_number<double>();
    if (!(number >= range.minimum && number <= range.maximum))
        throw CatalogueError(pathOf(key), "must be " + describeRange("a number", range));
    return number;
}

bool JsonFields::boolean(std::string_view key)
{
    const bool* found = value(key).if_bool();
    if (found == nullptr)
        throw CatalogueError(pathOf(key), "must be true or false");
    return *found;
}

std::string_view JsonFields::choice(
    std::string_view key, const std::vector<std::string_view>& choices)
{
    const std::string allowed = describeChoices(choices);
    const auto found = std::find(choices.begin(), choices.end(), text(key, allowed));
    if (found == choices.end())
        throw CatalogueError(pathOf(key), "must be " + allowed);
    return *found;
}

void JsonFields::finish() const
{
    for (const boost::json::key_value_pair& field : *m_object) {
        if (m_readFields.find(std::string_view(field.key())) == m_readFields.end())
            throw CatalogueError(pathOf(field.key()), "is not a known field of this object");
    }
}

}
