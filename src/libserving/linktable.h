#pragma once

#include "libapricot/clock.h"
#include "libapricot/endpoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

struct LinkTableOptions {
    // A host counts as cut off once this number of links were lost, and for this long no server was reached since.
    std::size_t minLostLinks = 2;
    Milliseconds minCutTime { 50 };
    // Servers without a response for this long are probed while calls to them wait, this often at most.
    Milliseconds silenceTime { 700 };
    Milliseconds silenceProbeInterval { 2000 };
};

// Which backend servers this host reaches, as shown by its own connections. An unreachable server may be up, and
// reachable from other hosts.
class LinkTable {
public:
    explicit LinkTable(LinkTableOptions options = {});

    // Records that a server accepted a connection or responded. Returns when its link had been lost, if it was.
    std::optional<TimePoint> recordReached(const Endpoint& server, TimePoint now);
    // Records that a connection to a server failed or fell silent. Returns whether its link had not been lost.
    bool recordUnreachable(const Endpoint& server, TimePoint now);

    // Whether calls to a server had better take another path: its link is lost, or this host is cut off.
    bool isLost(const Endpoint& server, TimePoint now) const;
    // Whether no server has been reached since several links were lost.
    bool isCutOff(TimePoint now) const;
    // When a server of this host's links was last reached.
    TimePoint lastReachedAt() const { return m_lastReachedAt; }
    std::size_t lostLinks() const { return m_lost.size(); }
    // Whether the link to this server itself is lost.
    bool hasLost(const Endpoint& server) const { return m_lost.contains(server); }

    // Up to `count` servers with lost links, in turn.
    std::vector<Endpoint> nextToProbe(std::size_t count);
    // Whether a server has been silent for so long, while a call sent at a time waits for its response, that its
    // link is to be probed now.
    bool startSilenceProbe(const Endpoint& server, TimePoint sentAt, TimePoint now);

    // Removes the servers that are not listed.
    void retain(const std::set<Endpoint>& listed);

private:
    LinkTableOptions m_options;
    // When each lost link was lost.
    std::map<Endpoint, TimePoint> m_lost;
    std::map<Endpoint, TimePoint> m_reachedAt;
    std::map<Endpoint, TimePoint> m_silenceProbedAt;
    TimePoint m_lastReachedAt {};
    // The server that was probed last.
    Endpoint m_lastProbed;
};

}
