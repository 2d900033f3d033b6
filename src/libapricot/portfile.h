#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

// Writes ports, keyed by the name of their settings section, as a JSON object such as
// {"http":43210}. The file is written under a temporary name and renamed, so that it never appears
// incomplete. Throws std::runtime_error.
void writePortFile(const std::string& file, const std::map<std::string, std::uint16_t>& ports);

}
