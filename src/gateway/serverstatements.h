#pragma once

#include "gateway/limitpermits.h"
#include "libnet/httpclient.h"
#include "libserving/brittleservers.h"

namespace Apricot {

// Whether a server may receive a request now, as far as its own statements tell.
enum class ServerAvailability {
    Available,
    // No permit of its limit is left.
    Limited,
    // It is brittle, and has no room for more requests of this host.
    Full,
};

// What backend servers say about themselves in their responses: limits, and how brittle they are. Reads each response
// once.
class ServerStatements {
public:
    ServerStatements(const ServingView& view, LimitPermits& limits);

    // Records what a response says about its server.
    void record(const ServerEntry& server, TimePoint sentAt, const HttpResponseHead& response);

    ServerAvailability availability(const ServerEntry& server);
    // When a server that is paused may receive a call; a time in the past if it may now.
    TimePoint availableAt(const ServerStart& server);
    // Whether any server is restricted, so that availability() has to be asked.
    bool hasRestrictions() const { return m_limits.limitedServers() > 0 || !m_brittle.isEmpty(); }
    // Takes a place for a request at a server until the result is destroyed.
    std::shared_ptr<void> takePlace(const BackendServerId& server);
    // Whether a request that has a place may still be sent.
    bool mayUsePlace(const ServerEntry& server) const;
    std::size_t brittleServers() const { return m_brittle.size(); }

    void onViewChanged();

private:
    int placesTaken(const BackendServerId& server) const;
    void logIgnored(const ServerEntry& server, std::string_view field, const std::string& text) const;

    const ServingView& m_view;
    LimitPermits& m_limits;
    BrittleServers m_brittle;
    // Shared with the places, which may outlive this object.
    std::shared_ptr<std::map<BackendServerId, int>> m_places = std::make_shared<std::map<BackendServerId, int>>();
};

}
