#pragma once

#include "libserving/serverentry.h"
#include "libserving/serverstarttable.h"

#include <map>
#include <optional>
#include <random>

namespace Apricot {

struct BrittleServersOptions {
    // Bounds of the time for which a server that turned a request away gets no others from this host.
    Milliseconds minPause { 250 };
    Milliseconds maxPause { 5000 };
    // Time for which a new start of a server counts as brittle because others of its pool are.
    Milliseconds poolStatementLifetime { 20'000 };
};

// The servers that end if they have to turn away more than a number of requests in a second. Each host keeps to its part
// of their slots, and to its part of that number.
class BrittleServers {
public:
    explicit BrittleServers(BrittleServersOptions options = {});

    // Records what a response to a request sent at a time said: how many requests a second the server can turn away, or
    // that it is not brittle. Returns whether that is new.
    bool record(const ServerEntry& server, std::optional<double> limit, TimePoint sentAt, TimePoint now);
    // Records that a server turned a request away for want of room. All hosts together may cause as many such responses
    // as its limit.
    void recordRefusal(const ServerEntry& server, std::size_t hosts, TimePoint now);

    // Whether a server has room for one more request from this host, whose requests in flight there are given.
    bool hasRoom(const ServerEntry& server, int inFlight, std::size_t hosts, TimePoint now) const;
    // Until when a server gets no requests because it turned one away.
    TimePoint pausedUntil(const ServerStart& server) const;
    // Whether no server is known to be brittle.
    bool isEmpty() const { return m_servers.isEmpty() && m_pools.empty(); }
    std::size_t size() const;

    // Removes the servers that are not listed.
    void retain(const std::set<BackendServerId>& listed) { m_servers.retain(listed); }

private:
    struct Entry {
        std::optional<double> limit;
        TimePoint sentAt {};
        TimePoint pausedUntil {};
    };
    struct PoolStatement {
        double limit = 0;
        TimePoint recordedAt {};
    };

    // The limit of a server, its own or that of its pool; not set if it is not brittle.
    std::optional<double> limitOf(const ServerEntry& server, TimePoint now) const;

    BrittleServersOptions m_options;
    ServerStartTable<Entry> m_servers;
    std::map<PoolId, PoolStatement> m_pools;
    std::minstd_rand m_random;
};

}
