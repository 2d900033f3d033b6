#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

// Writes ports by the name of their settings section as a JSON object, such as {"http":43210}. The
// file appears whole: it is written beside its place and renamed. Throws std::runtime_error.
void writePortFile(const std::string& file, const std::map<std::string, std::uint16_t>& ports);

}
