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

// Variable that receives the value of a setting. Its type determines how the text in the file is
// parsed.
using SettingTarget = std::variant<std::string*, HostId*, FailureDomainId*, std::uint16_t*, int*,
    std::size_t*, double*, bool*, Milliseconds*, LogLevel*>;

// Format of a text setting. Settings of other types have one format each.
enum class TextFormat {
    Name,
    Address,
    Path,
    // ADDRESS:PORT.
    Endpoint,
    // Any number of ADDRESS:PORT, separated by commas.
    EndpointList,
};

// Describes one setting: its section and key, its allowed values and its effect.
struct SettingSpec {
    std::string section;
    std::string key;
    TextFormat format = TextFormat::Name;
    // Inclusive bounds of a number; unused for other types.
    NumberRange<double> range { 0, 0 };
    // A required setting has no default.
    bool required = false;
    std::string effect;
};

// Parses the text of a setting into its target. Returns false and leaves the target unchanged if
// the text is not allowed.
bool assignSetting(const SettingSpec& spec, const SettingTarget& target, std::string_view text);
// Description of what assignSetting() accepts, such as "a whole number of milliseconds from 100 to
// 60000".
std::string allowedValues(const SettingSpec& spec, const SettingTarget& target);
// Unit of the setting for the reference, such as "ms"; empty for texts.
std::string_view settingUnit(const SettingSpec& spec, const SettingTarget& target);
// Current value of a target, in the format of the settings file.
std::string settingText(const SettingTarget& target);

std::string_view logLevelName(LogLevel level);

}
