#pragma once

#include "libapricot/numberrange.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Thrown for an invalid catalogue value. Contains the JSON path of the value, such as
// $.stages[1].timeout_ms, and a description of what is allowed there.
class CatalogueError : public std::runtime_error {
public:
    CatalogueError(std::string path, std::string allowed);

    const std::string& path() const { return m_path; }
    const std::string& allowed() const { return m_allowed; }

private:
    std::string m_path;
    std::string m_allowed;
};

// Reads the fields of one JSON object, checks their types and bounds, and finally rejects fields
// that were not read. Every error is a CatalogueError.
class JsonFields {
public:
    JsonFields(const boost::json::value& value, std::string path);

    const std::string& path() const { return m_path; }
    // JSON path of a field of this object.
    std::string pathOf(std::string_view key) const;
    bool has(std::string_view key) const;

    // Value of a required field of any type.
    const boost::json::value& value(std::string_view key);
    // A name: letters, digits, '.', '_' and '-', at most 64 of them.
    std::string name(std::string_view key);
    // An IPv4 or IPv6 address.
    std::string address(std::string_view key);
    std::int64_t integer(std::string_view key, NumberRange<std::int64_t> range);
    double number(std::string_view key, NumberRange<double> range);
    bool boolean(std::string_view key);
    // One of the given texts.
    std::string_view choice(std::string_view key, const std::vector<std::string_view>& choices);
    // Rejects the object if it has a field that none of the calls above has read.
    void finish() const;

private:
    std::string text(std::string_view key, const std::string& allowed);

    const boost::json::object* m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_readFields;
};

}
