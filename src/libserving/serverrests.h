#pragma once

#include "libapricot/clock.h"
#include "libserving/serverstarttable.h"

namespace Apricot {

struct ServerRestsOptions {
    // Longest rest that a server gets. One that asks for more is asked again after this time.
    Milliseconds maxRest { 3'600'000 };
    // Time after a rest in which requests to its server grow from one in flight to no bound.
    Milliseconds rampTime { 1000 };
    // Requests in flight that are allowed at the end of that time.
    int rampedInFlight = 16;
};

// The servers that asked this host for rest, and until when. A rest ends with its time or with the server's next start.
class ServerRests {
public:
    explicit ServerRests(ServerRestsOptions options = {});

    // Records that a server asked for rest. Returns whether it rests longer than known before.
    bool record(const ServerStart& server, Duration rest, TimePoint now);
    // Until when a server rests or rested; a time in the past if it does not.
    TimePoint restsUntil(const ServerStart& server) const;
    // Whether a server may get one more request, given those of this host in flight there.
    bool mayReceive(const ServerStart& server, int inFlight, TimePoint now) const;
    bool isEmpty() const { return m_restsUntil.isEmpty(); }
    // Number of servers that rest now.
    std::size_t count(TimePoint now) const;

    // Removes the servers that are not listed, and rests that ended some time ago.
    void retain(const std::set<BackendServerId>& listed, TimePoint now);

private:
    ServerRestsOptions m_options;
    ServerStartTable<TimePoint> m_restsUntil;
};

}
