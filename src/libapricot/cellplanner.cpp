#include "libapricot/cellplanner.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // A write moves at most 1 + replicas / rebalanceDivisor replicas.
    constexpr std::size_t rebalanceDivisor = 8;

}

CellPlanner::CellPlanner(const CellPlanInputs& inputs)
    : m_inputs(inputs)
    , m_next(inputs.current)
{
}

CellState CellPlanner::plan()
{
    m_next.writer = m_inputs.self.host;
    m_next.writerIncarnation = m_inputs.self.incarnation;
    ++m_next.renewals;
    removeGoneMembers();
    applyMemberStates();
    changeMembers();
    assignHomes();
    removeUndeclaredServers();
    evictRemovedMembers();
    return std::move(m_next);
}

// Whether a host is unresponsive and the operators have taken it out of service.
bool CellPlanner::isDecommissioned(const Member& member) const
{
    return m_inputs.catalogue && m_inputs.catalogue->isOutOfService(member.host)
        && isUnresponsive(member);
}

bool CellPlanner::isOutOfService(const Member& member) const
{
    return m_inputs.catalogue
        && (m_inputs.catalogue->isOutOfService(member.host)
            || m_inputs.catalogue->isOutOfService(member.failureDomain));
}

bool CellPlanner::isUnresponsive(const Member& member) const
{
    if (member.host == m_inputs.self.host)
        return false;
    const TimePoint limit = m_inputs.now - m_inputs.removalTime;
    return m_inputs.pollingSince <= limit && !m_inputs.contacts.hasRespondedSince(member, limit);
}

bool CellPlanner::hasRecentContact(const Member& member) const
{
    return member.host == m_inputs.self.host
        || m_inputs.contacts.hasRespondedSince(member, m_inputs.now - m_inputs.removalTime);
}

bool CellPlanner::hasAcknowledgedLastChange(const Member& member) const
{
    if (member.host == m_inputs.self.host)
        return true;
    const PeerContact* contact = m_inputs.contacts.find(member);
    return contact && contact->epoch >= m_inputs.current.membersSince;
}

const ReceivedHeartbeat* CellPlanner::findHeartbeat(const ProcessId& process) const
{
    const auto found = m_inputs.heartbeats.find(process.host);
    if (found == m_inputs.heartbeats.end()
        || found->second.heartbeat.sender.incarnation != process.incarnation)
        return nullptr;
    return &found->second;
}

bool CellPlanner::hasLeft(const ProcessId& process) const
{
    const ReceivedHeartbeat* received = findHeartbeat(process);
    return received && received->heartbeat.intent == MembershipIntent::Leave;
}

void CellPlanner::removeGoneMembers()
{
    std::erase_if(m_next.members, [this](const Member& member) {
        if (hasLeft(processOf(member)))
            return true;
        if (member.host == m_inputs.self.host)
            return member.incarnation != m_inputs.self.incarnation;
        return m_inputs.contacts.isGone(processOf(member)) || isDecommissioned(member);
    });
}

void CellPlanner::applyMemberStates()
{
    for (Member& member : m_next.members) {
        const ReceivedHeartbeat* received = findHeartbeat(processOf(member));
        if (received)
            member.state = std::max(member.state, received->heartbeat.sender.state);
        if (member.host == m_inputs.self.host)
            member.state = m_inputs.self.state;
    }
}

void CellPlanner::changeMembers()
{
    const auto hasAcknowledged
        = [this](const Member& member) { return hasAcknowledgedLastChange(member); };
    if (!m_next.members.empty() && !isMajority(m_next.members, hasAcknowledged))
        return;
    if (!addSelf() && !addJoiningMember())
        removeUnresponsiveMember();
}

bool CellPlanner::addSelf()
{
    if (m_next.findMember(m_inputs.self.host) || m_inputs.self.state != MemberState::Live)
        return false;
    m_next.members.push_back(m_inputs.self);
    m_next.membersSince = m_inputs.epoch + 1;
    return true;
}

bool CellPlanner::addJoiningMember()
{
    for (const auto& [host, received] : m_inputs.heartbeats) {
        const CellHeartbeat& heartbeat = received.heartbeat;
        const bool isFresh = received.receivedAt >= m_inputs.now - m_inputs.removalTime;
        const bool isJoining = heartbeat.intent == MembershipIntent::Stay
            && heartbeat.sender.state == MemberState::Live;
        if (!isFresh || !isJoining || m_next.findMember(host)
            || m_inputs.contacts.isGone(processOf(heartbeat.sender)))
            continue;
        const auto isSameProcess = [&heartbeat](const Member& member) {
            return member.host == heartbeat.sender.host
                && member.incarnation == heartbeat.sender.incarnation;
        };
        // A removed process may rejoin only under another incarnation.
        if (std::any_of(m_next.removed.begin(), m_next.removed.end(), isSameProcess))
            continue;
        m_next.members.push_back(heartbeat.sender);
        m_next.membersSince = m_inputs.epoch + 1;
        return true;
    }
    return false;
}

void CellPlanner::removeUnresponsiveMember()
{
    if (!isMajority(m_next.members,
            [this](const Member& member) { return hasRecentContact(member); }))
        return;
    const auto unresponsive = std::find_if(m_next.members.begin(), m_next.members.end(),
        [this](const Member& member) { return isUnresponsive(member); });
    if (unresponsive == m_next.members.end())
        return;
    m_next.removed.push_back(*unresponsive);
    m_next.members.erase(unresponsive);
    m_next.membersSince = m_inputs.epoch + 1;
}

void CellPlanner::assignHomes()
{
    for (auto& [server, home] : m_next.homes)
        clearConfirmed(server, home);
    const std::vector<HostId> candidates = listCandidates();
    if (m_inputs.catalogue) {
        for (const auto& [server, declared] : m_inputs.catalogue->servers)
            m_next.homes.try_emplace(server);
    }
    for (auto& [server, home] : m_next.homes) {
        const bool isHomeValid = m_next.findProcess(home.home, home.incarnation)
            && std::find(candidates.begin(), candidates.end(), home.home) != candidates.end();
        if (!isHomeValid)
            assignHome(server, home, candidates);
    }
    rebalanceHomes(candidates);
}

// Moves a few replicas to the hosts that rank first for them, so that a joining host gets its share
// and no host remains home of all replicas. Each move is a hand-over by a live home.
void CellPlanner::rebalanceHomes(const std::vector<HostId>& candidates)
{
    const auto hasAcknowledged
        = [this](const Member& member) { return hasAcknowledgedLastChange(member); };
    if (candidates.empty() || !isMajority(m_next.members, hasAcknowledged))
        return;
    std::size_t remainingMoves = 1 + m_next.homes.size() / rebalanceDivisor;
    for (auto& [server, home] : m_next.homes) {
        const bool isMovable = !home.home.empty() && home.unconfirmedHome.empty()
            && home.since <= m_inputs.epoch && m_next.findProcess(home.home, home.incarnation);
        if (!isMovable || rankHosts(server.value(), candidates).front() == home.home)
            continue;
        assignHome(server, home, candidates);
        if (--remainingMoves == 0)
            return;
    }
}

void CellPlanner::assignHome(const BackendServerId& server, HomeAssignment& home,
    const std::vector<HostId>& candidates) const
{
    const ProcessId previous { home.home, home.incarnation };
    const bool isStopped = home.home.empty() || isConfirmed(previous, server, home.since);
    const bool isDeclared = m_inputs.catalogue && m_inputs.catalogue->servers.contains(server);
    if (candidates.empty() || !isDeclared) {
        // A home that has not stopped stays assigned: otherwise the next writer could not determine
        // whether it has stopped.
        if (isStopped) {
            home.home = HostId();
            home.incarnation.clear();
        }
        return;
    }
    // Only one unconfirmed earlier home can be stored, so the replica waits until one of the two is
    // confirmed.
    if (!isStopped && !home.unconfirmedHome.empty())
        return;
    const HostId chosen = rankHosts(server.value(), candidates).front();
    home.home = chosen;
    home.incarnation = m_next.findMember(chosen)->incarnation;
    home.since = m_inputs.epoch + 1;
    // A process that becomes home again counts its own work in flight.
    if (home.unconfirmedHome == home.home && home.unconfirmedIncarnation == home.incarnation) {
        home.unconfirmedHome = HostId();
        home.unconfirmedIncarnation.clear();
    }
    if (isStopped)
        return;
    home.unconfirmedHome = previous.host;
    home.unconfirmedIncarnation = previous.incarnation;
}

std::vector<HostId> CellPlanner::listCandidates() const
{
    std::vector<HostId> liveHosts;
    std::vector<HostId> inServiceHosts;
    for (const Member& member : m_next.members) {
        if (member.state != MemberState::Live)
            continue;
        liveHosts.push_back(member.host);
        if (!isOutOfService(member))
            inServiceHosts.push_back(member.host);
    }
    return inServiceHosts.empty() ? liveHosts : inServiceHosts;
}

// Whether a process is known to have stopped using a replica after another process became its home.
bool CellPlanner::isConfirmed(
    const ProcessId& process, const BackendServerId& server, ObjectVersion since) const
{
    const bool isMember = m_next.findProcess(process.host, process.incarnation) != nullptr;
    if (process.host == m_inputs.self.host && process.incarnation != m_inputs.self.incarnation)
        return true;
    if (m_inputs.contacts.isGone(process) || hasLeft(process))
        return true;
    if (!isMember && m_inputs.catalogue && m_inputs.catalogue->isOutOfService(process.host))
        return true;
    const ReceivedHeartbeat* received = findHeartbeat(process);
    if (!received)
        return false;
    const CellHeartbeat& heartbeat = received->heartbeat;
    const auto& busyServers = heartbeat.homes.busyServers;
    const auto home = m_inputs.current.homes.find(server);
    const bool isStillHome = home == m_inputs.current.homes.end()
        || (home->second.home == process.host && home->second.incarnation == process.incarnation);
    return !isStillHome && heartbeat.homes.appliedEpoch >= since
        && std::find(busyServers.begin(), busyServers.end(), server) == busyServers.end();
}

void CellPlanner::clearConfirmed(const BackendServerId& server, HomeAssignment& home) const
{
    if (home.unconfirmedHome.empty())
        return;
    if (!isConfirmed({ home.unconfirmedHome, home.unconfirmedIncarnation }, server, home.since))
        return;
    home.unconfirmedHome = HostId();
    home.unconfirmedIncarnation.clear();
}

// Removes the homes of servers that are no longer declared, once no process can be using them.
void CellPlanner::removeUndeclaredServers()
{
    if (!m_inputs.catalogue)
        return;
    std::erase_if(m_next.homes, [this](const auto& entry) {
        const auto& [server, home] = entry;
        return !m_inputs.catalogue->servers.contains(server) && home.home.empty()
            && home.unconfirmedHome.empty();
    });
}

void CellPlanner::evictRemovedMembers()
{
    std::erase_if(m_next.removed, [this](const Member& member) {
        if (m_inputs.contacts.isGone(processOf(member)))
            return true;
        return std::none_of(m_next.homes.begin(), m_next.homes.end(), [&member](const auto& entry) {
            const HomeAssignment& home = entry.second;
            return (home.home == member.host && home.incarnation == member.incarnation)
                || (home.unconfirmedHome == member.host
                    && home.unconfirmedIncarnation == member.incarnation);
        });
    });
}

}
