#pragma once

#include "libapricot/settings.h"

#include <string>

namespace Apricot {

// Settings common to all daemons.
struct ProcessSettings {
    HostId host;
    FailureDomainId failureDomain;
    LogLevel logLevel = LogLevel::Info;
    // File to which log lines are appended; empty for standard output.
    std::string logFile;
    // File to which the ports in use are written as JSON; empty for none.
    std::string portFile;

    auto operator<=>(const ProcessSettings&) const = default;
};

// Declares the section [process].
void describe(ProcessSettings& settings, SettingsTable& table);

}
