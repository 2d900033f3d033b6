#include "libapricot/endpointsettings.h"

namespace Apricot {

namespace {

    constexpr NumberRange<double> listenPortRange { 0, 65535 };
    constexpr NumberRange<double> serverPortRange { 1, 65535 };

}

void describeListener(EndpointSettings& settings, SettingsTable& table, const std::string& section,
    const std::string& purpose)
{
    table.add({ .section = section,
                  .key = "address",
                  .format = TextFormat::Address,
                  .effect = "Address to listen on for " + purpose + "." },
        &settings.address);
    table.add({ .section = section,
                  .key = "port",
                  .range = listenPortRange,
                  .effect = "Port to listen on for " + purpose + "; 0 lets the kernel choose." },
        &settings.port);
}

void describeServer(EndpointSettings& settings, SettingsTable& table, const std::string& section,
    const std::string& purpose)
{
    table.add({ .section = section,
                  .key = "address",
                  .format = TextFormat::Address,
                  .required = true,
                  .effect = "Address of " + purpose + "." },
        &settings.address);
    table.add({ .section = section,
                  .key = "port",
                  .range = serverPortRange,
                  .required = true,
                  .effect = "Port of " + purpose + "." },
        &settings.port);
}

}
