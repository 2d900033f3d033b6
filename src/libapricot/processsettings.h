#pragma once

#include "libapricot/settings.h"

#include <string>

namespace Apricot {

// What every daemon is told about itself.
struct ProcessSettings {
    HostId host;
    FailureDomainId failureDomain;
    LogLevel logLevel = LogLevel::Info;
    // File that log lines are appended to; empty for standard error.
    std::string logFile;
    // File that is given the ports in use as JSON; empty for none.
    std::string portFile;

    auto operator<=>(const ProcessSettings&) const = default;
};

// Declares the section [process].
void describe(ProcessSettings& settings, SettingsTable& table);

}
