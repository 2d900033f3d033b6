#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Apricot {

// Formats a value as indented JSON.
std::string prettyJson(const boost::json::value& value);

// A path at which two JSON values differ. An empty side means that this value lacks the path.
struct JsonDifference {
    std::string path;
    std::string before;
    std::string after;

    auto operator<=>(const JsonDifference&) const = default;
};

// Returns every difference between two values, in the order of their fields.
std::vector<JsonDifference> jsonDifferences(
    const boost::json::value& before, const boost::json::value& after);

}
