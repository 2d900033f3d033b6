#include "libserving/relaypeers.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

RelayPeers::RelayPeers(RelayPeersOptions options)
    : m_options(options)
{
}

void RelayPeers::setHosts(const HostId& self, const std::vector<HostId>& hosts)
{
    m_order = rankHosts("relay of " + self.value(), hosts);
    std::erase(m_order, self);
    m_order.resize(std::min(m_order.size(), m_options.maxPeers));
    std::erase_if(m_peers, [this](const auto& entry) {
        return entry.second.inFlight == 0
            && std::find(m_order.begin(), m_order.end(), entry.first) == m_order.end();
    });
}

std::optional<HostId> RelayPeers::choose(TimePoint now)
{
    const HostId* best = nullptr;
    int leastInFlight = 0;
    std::size_t position = 0;
    for (std::size_t offset = 0; offset < m_order.size(); ++offset) {
        const std::size_t index = (m_next + offset) % m_order.size();
        const PeerState& state = m_peers[m_order[index]];
        if (now < state.avoidedUntil || (best && state.inFlight >= leastInFlight))
            continue;
        best = &m_order[index];
        leastInFlight = state.inFlight;
        position = index;
    }
    if (!best)
        return std::nullopt;
    m_next = position + 1;
    return *best;
}

void RelayPeers::onCallEnded(const HostId& peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.inFlight = std::max(found->second.inFlight - 1, 0);
}

void RelayPeers::recordRefusal(const HostId& peer, TimePoint now)
{
    m_peers[peer].avoidedUntil = now + m_options.refusedAvoidTime;
}

void RelayPeers::recordSilence(const HostId& peer, TimePoint now)
{
    m_peers[peer].avoidedUntil = now + m_options.silentAvoidTime;
}

}
