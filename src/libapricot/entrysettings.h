#pragma once

#include "libapricot/endpointsettings.h"
#include "libapricot/processsettings.h"

#include <cstddef>
#include <string>

namespace Apricot {

// Settings of apricot-entry.
struct EntrySettings {
    ProcessSettings process;
    EndpointSettings http { .port = 8080 };
    std::size_t bodyLimitBytes = 1'048'576;
    EndpointSettings dispatch;
    EndpointSettings control { .port = 8081 };

    auto operator<=>(const EntrySettings&) const = default;
};

// Declares every setting of apricot-entry, with its current value as the default.
void describe(EntrySettings& settings, SettingsTable& table);

}
