#include "libapricot/processsettings.h"

namespace Apricot {

void describe(ProcessSettings& settings, SettingsTable& table)
{
    const std::string section = "process";
    table.add({ .section = section,
                  .key = "host",
                  .required = true,
                  .effect = "Name of this host; every host of the system has its own." },
        &settings.host);
    table.add({ .section = section,
                  .key = "failure_domain",
                  .required = true,
                  .effect = "Failure domain that this host stands in." },
        &settings.failureDomain);
    table.add({ .section = section,
                  .key = "log_level",
                  .effect = "Lightest log lines that are written." },
        &settings.logLevel);
    table.add({ .section = section,
                  .key = "log_file",
                  .format = TextFormat::Path,
                  .effect = "File that log lines are appended to; empty for standard output." },
        &settings.logFile);
    table.add({ .section = section,
                  .key = "port_file",
                  .format = TextFormat::Path,
                  .effect = "File that is given the ports in use as JSON; empty for none." },
        &settings.portFile);
}

}
