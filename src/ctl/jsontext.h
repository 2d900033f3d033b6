#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Apricot {

// A value as indented JSON for reading.
std::string prettyJson(const boost::json::value& value);

// One place where two values differ. An empty side means that the place is missing there.
struct JsonDifference {
    std::string path;
    std::string before;
    std::string after;

    auto operator<=>(const JsonDifference&) const = default;
};

// Every place where two values differ, by JSON path in the order of the fields.
std::vector<JsonDifference> jsonDifferences(
    const boost::json::value& before, const boost::json::value& after);

}
