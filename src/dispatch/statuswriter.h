#pragma once

#include "libapricot/configstore.h"
#include "platform/platformclient.h"

#include <map>
#include <string>

namespace Apricot {

// Status that a daemon reports in the platform object status/<host>.
struct DaemonStatus {
    std::string incarnation;
    // Version of the catalogue in force.
    ObjectVersion catalogueVersion = 0;
    std::map<std::string, InvalidObject> invalidObjects;

    auto operator<=>(const DaemonStatus&) const = default;
};

boost::json::value toJson(const DaemonStatus& status);

// Writes the status to the platform when it has changed, at most once a second.
class StatusWriter {
public:
    StatusWriter(boost::asio::io_context& context, PlatformClient& platform, HostId host);

    void start();
    void update(DaemonStatus status) { m_status = std::move(status); }

private:
    boost::asio::awaitable<void> writeChanges();

    boost::asio::io_context& m_context;
    PlatformClient& m_platform;
    std::string m_key;
    DaemonStatus m_status;
    DaemonStatus m_written;
};

}
