#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"
#include "libapricot/loglevel.h"
#include "libapricot/numberrange.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Apricot {

// The variable that a setting fills. Its type decides how the text in the file is read.
using SettingTarget = std::variant<std::string*, HostId*, FailureDomainId*, std::uint16_t*, int*,
    std::size_t*, double*, bool*, Milliseconds*, LogLevel*>;

// What a text setting holds. The other types have one form each.
enum class TextFormat {
    Name,
    Address,
    Path,
    // ADDRESS:PORT.
    Endpoint,
    // Any number of ADDRESS:PORT, separated by commas.
    EndpointList,
};

// One setting: where it stands in the file, what it may be, and what it does.
struct SettingSpec {
    std::string section;
    std::string key;
    TextFormat format = TextFormat::Name;
    // Bounds of a number; unused for other types.
    NumberRange<double> range { 0, 0 };
    // A required setting has no default.
    bool required = false;
    std::string effect;
};

// Reads a setting's text into its target. Returns false, with the target as it was, when the text
// is not allowed.
bool assignSetting(const SettingSpec& spec, const SettingTarget& target, std::string_view text);
// What assignSetting() allows, such as "a whole number of milliseconds from 100 to 60000".
std::string allowedValues(const SettingSpec& spec, const SettingTarget& target);
// Unit of the setting for the reference, such as "ms"; empty for texts.
std::string_view settingUnit(const SettingSpec& spec, const SettingTarget& target);
// Present value of a target, as it would stand in the file.
std::string settingText(const SettingTarget& target);

std::string_view logLevelName(LogLevel level);

}
