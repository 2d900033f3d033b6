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
                  .effect = "Failure domain to which this host belongs." },
        &settings.failureDomain);
    table.add({ .section = section,
                  .key = "log_level",
                  .effect = "Minimum level of log lines that are written." },
        &settings.logLevel);
    table.add({ .section = section,
                  .key = "log_file",
                  .format = TextFormat::Path,
                  .effect = "File that log lines are appended to; empty for standard output." },
        &settings.logFile);
    table.add({ .section = section,
                  .key = "port_file",
                  .format = TextFormat::Path,
                  .effect = "File to which the ports in use are written as JSON; empty for none." },
        &settings.portFile);
}

}
