#pragma once

#include "libapricot/settings.h"

#include <cstdint>
#include <string>

namespace Apricot {

// An address and port for listening or connecting.
struct EndpointSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    auto operator<=>(const EndpointSettings&) const = default;
};

// Declares section.address and section.port of a socket that the program listens on.
void describeListener(
    EndpointSettings& settings, SettingsTable& table, const std::string& section, const std::string& purpose);
// Declares section.address and section.port of a server that the program connects to. Both must be
// set.
void describeServer(
    EndpointSettings& settings, SettingsTable& table, const std::string& section, const std::string& purpose);

}
