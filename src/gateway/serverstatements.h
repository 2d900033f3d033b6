#pragma once

#include "gateway/limitpermits.h"
#include "libnet/httpclient.h"
#include "libserving/brittleservers.h"
#include "libserving/serverrests.h"
#include "platform/requesttranslation.h"

namespace Apricot {

// Whether a server may receive a request now, as far as its own statements tell.
enum class ServerAvailability {
    Available,
    // No permit of its limit is left.
    Limited,
    // It is brittle, and has no room for more requests of this host.
    Full,
    // It asked for rest, or gets only a few requests after one.
    Resting,
};

// What backend servers say about themselves in their responses: limits, how brittle they are, that they leave, and
// the rest that they ask this host for. Reads each response once.
class ServerStatements {
public:
    ServerStatements(ServingView& view, LimitPermits& limits);

    // Records what a response says about its server.
    void record(const ServerEntry& server, TimePoint sentAt, const HttpResponseHead& response);

    ServerAvailability availability(const ServerEntry& server);
    // When a server that is paused may receive a call; a time in the past if it may now.
    TimePoint availableAt(const ServerStart& server);
    // Whether any server is restricted, so that availability() has to be asked.
    bool hasRestrictions() const { return m_limits.hasLimits() || !m_brittle.isEmpty() || !m_rests.isEmpty(); }
    // Whether a server asked this host for rest that has not ended.
    bool isResting(const ServerStart& server) const { return RuntimeClock::now() < m_rests.restsUntil(server); }
    // Whether one of these servers may receive a call now.
    bool isAnyAvailable(const std::vector<const KnownServer*>& servers);
    // Time after which a caller may be served by one of these servers, spread so that not all callers return at once.
    Milliseconds retryAfter(const std::vector<const KnownServer*>& servers);
    // Takes a place for a request at a server until the result is destroyed.
    std::shared_ptr<void> takePlace(const BackendServerId& server);
    // Whether a request that has a place may still be sent.
    bool mayUsePlace(const ServerEntry& server) const;
    std::size_t brittleServers() const { return m_brittle.size(); }
    std::size_t restingServers() const { return m_rests.count(RuntimeClock::now()); }

    void onViewChanged();

private:
    // When the first of these servers may receive a call; now if there are none.
    TimePoint earliestAvailable(const std::vector<const KnownServer*>& servers, TimePoint now);
    int placesTaken(const BackendServerId& server) const;
    void recordRest(const ServerEntry& server, const Platform::StatedNumber& seconds, TimePoint now);
    void logIgnored(const ServerEntry& server, std::string_view field, const std::string& text) const;

    ServingView& m_view;
    LimitPermits& m_limits;
    BrittleServers m_brittle;
    ServerRests m_rests;
    std::minstd_rand m_random;
    // Shared with the places, which may outlive this object.
    std::shared_ptr<std::map<BackendServerId, int>> m_places = std::make_shared<std::map<BackendServerId, int>>();
};

}
