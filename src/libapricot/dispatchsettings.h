#pragma once

#include "libapricot/endpointsettings.h"
#include "libapricot/processsettings.h"

#include <string>

namespace Apricot {

// Times of the cell's membership; see docs/DESIGN.md, "Cell, epoch, evidence".
struct MembershipSettings {
    std::string cell = "cell-1";
    Milliseconds evidence { 3000 };
    Milliseconds renewal { 1000 };
    Milliseconds removal { 3000 };
    Milliseconds drain { 1000 };

    auto operator<=>(const MembershipSettings&) const = default;
};

// Decisions under load; the values other than the defaults are baselines to compare with.
struct LoadSettings {
    std::string routing = "power_of_two";
    bool admission = true;

    auto operator<=>(const LoadSettings&) const = default;
};

// Records of requests.
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
// Declares every setting of apricot-dispatch with its present value as default.
void describe(DispatchSettings& settings, SettingsTable& table);

}
