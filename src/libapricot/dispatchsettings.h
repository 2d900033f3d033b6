#pragma once

#include "libapricot/endpointsettings.h"
#include "libapricot/processsettings.h"

#include <string>

namespace Apricot {

// Time settings of the cell membership; see docs/DESIGN.md, "Cell, epoch, evidence".
struct MembershipSettings {
    std::string cell = "cell-1";
    Milliseconds evidence { 3000 };
    Milliseconds renewal { 1000 };
    Milliseconds removal { 3000 };
    Milliseconds drain { 1000 };

    auto operator<=>(const MembershipSettings&) const = default;
};

// Load handling. Values other than the defaults serve as baselines for comparison.
struct LoadSettings {
    std::string routing = "power_of_two";
    bool admission = true;

    auto operator<=>(const LoadSettings&) const = default;
};

// Settings of the request records.
struct RecordSettings {
    Milliseconds retention { 600'000 };

    auto operator<=>(const RecordSettings&) const = default;
};

// Settings of apricot-dispatch.
struct DispatchSettings {
    ProcessSettings process;
    EndpointSettings peer { .port = 7070 };
    EndpointSettings platform;
    EndpointSettings control { .port = 7071 };
    MembershipSettings membership;
    LoadSettings load;
    RecordSettings records;

    auto operator<=>(const DispatchSettings&) const = default;
};

// Declares the section [membership] and the rules between its times.
void describe(MembershipSettings& settings, SettingsTable& table);
// Declares the section [load].
void describe(LoadSettings& settings, SettingsTable& table);
// Declares the section [records].
void describe(RecordSettings& settings, SettingsTable& table);
// Declares every setting of apricot-dispatch, with its current value as the default.
void describe(DispatchSettings& settings, SettingsTable& table);

}
