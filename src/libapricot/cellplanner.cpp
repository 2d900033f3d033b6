#include "libapricot/cellplanner.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // One replica in so many is moved at most by one write, beside one.
    constexpr std::size_t rebalanceShare = 8;

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
    dropGoneMembers();
    applyLeaving();
    changeMembers();
    assignHomes();
    forgetServers();
    forgetRemoved();
    return std::move(m_next);
}

// Whether the operators gave a silent host up by taking it out of service.
bool CellPlanner::isRenounced(const Member& member) const
{
    return m_inputs.catalogue && m_inputs.catalogue->isOut(member.host) && isSilent(member);
}

bool CellPlanner::isOutOfService(const Member& member) const
{
    return m_inputs.catalogue
        && (m_inputs.catalogue->isOut(member.host)
            || m_inputs.catalogue->isOut(member.failureDomain));
}

bool CellPlanner::isSilent(const Member& member) const
{
    if (member.host == m_inputs.self.host)
        return false;
    const TimePoint limit = m_inputs.now - m_inputs.removalTime;
    return m_inputs.askingSince <= limit && !m_inputs.contacts.isHeardSince(member, limit);
}

bool CellPlanner::isHeard(const Member& member) const
{
    return member.host == m_inputs.self.host
        || m_inputs.contacts.isHeardSince(member, m_inputs.now - m_inputs.removalTime);
}

bool CellPlanner::knowsLastChange(const Member& member) const
{
    if (member.host == m_inputs.self.host)
        return true;
    const PeerContact* contact = m_inputs.contacts.find(member);
    return contact && contact->epoch >= m_inputs.current.membersSince;
}

const ReceivedHeartbeat* CellPlanner::findQuestion(const ProcessId& process) const
{
    const auto found = m_inputs.heartbeats.find(process.host);
    if (found == m_inputs.heartbeats.end()
        || found->second.heartbeat.sender.incarnation != process.incarnation)
        return nullptr;
    return &found->second;
}

bool CellPlanner::hasLeft(const ProcessId& process) const
{
    const ReceivedHeartbeat* received = findQuestion(process);
    return received && received->heartbeat.intent == MembershipIntent::Leave;
}

void CellPlanner::dropGoneMembers()
{
    std::erase_if(m_next.members, [this](const Member& member) {
        if (hasLeft(processOf(member)))
            return true;
        if (member.host == m_inputs.self.host)
            return member.incarnation != m_inputs.self.incarnation;
        return m_inputs.contacts.isGone(processOf(member)) || isRenounced(member);
    });
}

void CellPlanner::applyLeaving()
{
    for (Member& member : m_next.members) {
        const ReceivedHeartbeat* question = findQuestion(processOf(member));
        if (question)
            member.state = std::max(member.state, question->heartbeat.sender.state);
        if (member.host == m_inputs.self.host)
            member.state = m_inputs.self.state;
    }
}

void CellPlanner::changeMembers()
{
    const auto knows = [this](const Member& member) { return knowsLastChange(member); };
    if (!m_next.members.empty() && !isMajority(m_next.members, knows))
        return;
    if (!addSelf() && !addAsker())
        removeSilentMember();
}

bool CellPlanner::addSelf()
{
    if (m_next.findMember(m_inputs.self.host) || m_inputs.self.state != MemberState::Live)
        return false;
    m_next.members.push_back(m_inputs.self);
    m_next.membersSince = m_inputs.epoch + 1;
    return true;
}

bool CellPlanner::addAsker()
{
    for (const auto& [host, received] : m_inputs.heartbeats) {
        const CellHeartbeat& question = received.heartbeat;
        const bool isFresh = received.receivedAt >= m_inputs.now - m_inputs.removalTime;
        const bool wishesToJoin = question.intent == MembershipIntent::Stay
            && question.sender.state == MemberState::Live;
        if (!isFresh || !wishesToJoin || m_next.findMember(host)
            || m_inputs.contacts.isGone(processOf(question.sender)))
            continue;
        const auto isSameProcess = [&question](const Member& member) {
            return member.host == question.sender.host
                && member.incarnation == question.sender.incarnation;
        };
        // A removed process comes back only under another incarnation.
        if (std::any_of(m_next.removed.begin(), m_next.removed.end(), isSameProcess))
            continue;
        m_next.members.push_back(question.sender);
        m_next.membersSince = m_inputs.epoch + 1;
        return true;
    }
    return false;
}

void CellPlanner::removeSilentMember()
{
    if (!isMajority(m_next.members, [this](const Member& member) { return isHeard(member); }))
        return;
    const auto silent = std::find_if(m_next.members.begin(), m_next.members.end(),
        [this](const Member& member) { return isSilent(member); });
    if (silent == m_next.members.end())
        return;
    m_next.removed.push_back(*silent);
    m_next.members.erase(silent);
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
        const bool isKept = m_next.findProcess(home.home, home.incarnation)
            && std::find(candidates.begin(), candidates.end(), home.home) != candidates.end();
        if (!isKept)
            assignHome(server, home, candidates);
    }
    rebalanceHomes(candidates);
}

// Moves a few replicas to the hosts that come first for them, so that a host that joins takes its
// share and no host stays home of everything. Each move is a hand-over by a live home.
void CellPlanner::rebalanceHomes(const std::vector<HostId>& candidates)
{
    const auto knows = [this](const Member& member) { return knowsLastChange(member); };
    if (candidates.empty() || !isMajority(m_next.members, knows))
        return;
    std::size_t moves = 1 + m_next.homes.size() / rebalanceShare;
    for (auto& [server, home] : m_next.homes) {
        const bool isSettled = !home.home.empty() && home.unconfirmedHome.empty()
            && home.since <= m_inputs.epoch && m_next.findProcess(home.home, home.incarnation);
        if (!isSettled || rankHosts(server.value(), candidates).front() == home.home)
            continue;
        assignHome(server, home, candidates);
        if (--moves == 0)
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
        // Whoever writes next could not tell any more that this process has stopped.
        if (isStopped) {
            home.home = HostId();
            home.incarnation.clear();
        }
        return;
    }
    // Two earlier homes can't both be recorded; the replica waits until one of them is confirmed.
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
    std::vector<HostId> live;
    std::vector<HostId> inService;
    for (const Member& member : m_next.members) {
        if (member.state != MemberState::Live)
            continue;
        live.push_back(member.host);
        if (!isOutOfService(member))
            inService.push_back(member.host);
    }
    return inService.empty() ? live : inService;
}

// Whether a process certainly uses a replica no more, after another one became its home.
bool CellPlanner::isConfirmed(
    const ProcessId& process, const BackendServerId& server, ObjectVersion since) const
{
    const bool isMember = m_next.findProcess(process.host, process.incarnation) != nullptr;
    if (process.host == m_inputs.self.host && process.incarnation != m_inputs.self.incarnation)
        return true;
    if (m_inputs.contacts.isGone(process) || hasLeft(process))
        return true;
    if (!isMember && m_inputs.catalogue && m_inputs.catalogue->isOut(process.host))
        return true;
    const ReceivedHeartbeat* received = findQuestion(process);
    if (!received)
        return false;
    const CellHeartbeat& question = received->heartbeat;
    const auto& busy = question.homes.busyServers;
    const auto home = m_inputs.current.homes.find(server);
    const bool isStillHome = home == m_inputs.current.homes.end()
        || (home->second.home == process.host && home->second.incarnation == process.incarnation);
    return !isStillHome && question.homes.appliedEpoch >= since
        && std::find(busy.begin(), busy.end(), server) == busy.end();
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

// Drops homes of servers that are declared no more, once no process can be using them.
void CellPlanner::forgetServers()
{
    if (!m_inputs.catalogue)
        return;
    std::erase_if(m_next.homes, [this](const auto& entry) {
        const auto& [server, home] = entry;
        return !m_inputs.catalogue->servers.contains(server) && home.home.empty()
            && home.unconfirmedHome.empty();
    });
}

void CellPlanner::forgetRemoved()
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
