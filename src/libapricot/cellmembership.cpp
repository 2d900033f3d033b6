#include "libapricot/cellmembership.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Key whose rendezvous order is the order of succession of writers.
    constexpr std::string_view successionKey = "writer";

    template <typename... Visitors>
    struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };

    template <typename... Visitors>
    Overloaded(Visitors...) -> Overloaded<Visitors...>;

}

CellMembership::CellMembership(CellMembershipOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_lease(m_options.evidence)
    , m_startedAt(now)
    , m_epochChangedAt(now)
{
}

std::vector<CellAction> CellMembership::tick(TimePoint now)
{
    std::vector<CellAction> actions;
    evictExpired(now);
    const bool isStateStale
        = !m_isStateKnown || now - m_epochChangedAt >= m_options.renewInterval * 3 / 2;
    if (isStateStale && !m_isReading && now - m_readBegunAt >= m_options.readInterval) {
        m_isReading = true;
        m_readBegunAt = now;
        actions.emplace_back(ReadCell {});
    }
    if (std::optional<WriteCell> write = chooseWrite(now)) {
        m_isWriting = true;
        m_writeBegunAt = now;
        actions.emplace_back(std::move(*write));
    }
    return actions;
}

void CellMembership::onRead(const std::optional<VersionedCell>& cell, TimePoint now)
{
    m_isReading = false;
    m_isStateKnown = true;
    if (cell)
        applyState(cell->state, cell->version, now);
}

void CellMembership::onReadFailed()
{
    m_isReading = false;
}

void CellMembership::onWriteFinished(
    const WriteCell& write, const CellWriteOutcome& outcome, TimePoint begunAt, TimePoint now)
{
    m_isWriting = false;
    const auto visitor = Overloaded {
        [&](const CellWriteAccepted& accepted) {
            m_unknownOutcomeSince.reset();
            applyState(write.state, accepted.version, now);
            m_lease.recordAcceptedWrite(accepted.version, begunAt);
        },
        [&](const CellWriteConflict& conflict) { onWriteConflict(write, conflict, now); },
        [&](const CellWriteUnknown&) {
            if (!m_unknownOutcomeSince)
                m_unknownOutcomeSince = begunAt;
            m_lease.recordPlatformFailure(begunAt);
        },
        [&](const CellWriteRefused&) { m_lease.recordPlatformFailure(begunAt); },
    };
    std::visit(visitor, outcome);
}

// The conflicting version may be this daemon's own earlier write whose response was lost.
void CellMembership::onWriteConflict(
    const WriteCell& write, const CellWriteConflict& conflict, TimePoint now)
{
    const std::optional<TimePoint> unknownOutcomeSince
        = std::exchange(m_unknownOutcomeSince, std::nullopt);
    if (!conflict.current) {
        m_ifVersion = 0;
        return;
    }
    const VersionedCell& current = *conflict.current;
    applyState(current.state, current.version, now);
    const bool isOwn = current.state.writer == m_options.self.host
        && current.state.writerIncarnation == m_options.self.incarnation
        && current.state.renewals == write.state.renewals && current.version > write.ifVersion;
    if (isOwn && unknownOutcomeSince)
        m_lease.recordAcceptedWrite(current.version, *unknownOutcomeSince);
}

std::vector<Member> CellMembership::listPeers() const
{
    std::vector<Member> peers;
    for (const Member& member : m_state.members) {
        if (member.host != m_options.self.host)
            peers.push_back(member);
    }
    for (const Member& member : m_state.removed) {
        if (member.host != m_options.self.host)
            peers.push_back(member);
    }
    return peers;
}

CellHeartbeat CellMembership::makeHeartbeat() const
{
    return {
        .sender = m_options.self, .intent = m_intent, .epoch = m_epoch, .homes = m_homeReport
    };
}

CellHeartbeatResponse CellMembership::respondTo(const CellHeartbeat& heartbeat, TimePoint now)
{
    ReceivedHeartbeat& received = m_heartbeats[heartbeat.sender.host];
    received = { .heartbeat = heartbeat, .receivedAt = now };
    CellHeartbeatResponse response { .host = m_options.self.host,
        .incarnation = m_options.self.incarnation,
        .epoch = m_epoch,
        .configRevision = m_configRevision };
    if (m_epoch > heartbeat.epoch)
        response.newerState.push_back(m_state);
    if (const std::optional<EvidenceProof> proof = m_lease.proof(now))
        response.proof.push_back(*proof);
    return response;
}

void CellMembership::onHeartbeatResponse(
    const ProcessId& addressee, const CellHeartbeatResponse& response, TimePoint requestSentAt,
    TimePoint now)
{
    if (response.host != addressee.host)
        return;
    m_contacts.recordResponse(addressee,
        { .incarnation = response.incarnation,
            .requestSentAt = requestSentAt,
            .epoch = response.epoch,
            .configRevision = response.configRevision });
    if (!response.newerState.empty())
        applyState(response.newerState.front(), response.epoch, now);
    for (const EvidenceProof& proof : response.proof)
        m_lease.recordProof(proof, requestSentAt);
}

void CellMembership::onProcessGone(const ProcessId& process)
{
    m_contacts.recordGone(process);
}

void CellMembership::setCatalogue(
    std::shared_ptr<const Catalogue> catalogue, ObjectVersion configRevision)
{
    m_catalogue = std::move(catalogue);
    m_configRevision = std::max(m_configRevision, configRevision);
}

void CellMembership::rejoin(std::string incarnation)
{
    m_options.self.incarnation = std::move(incarnation);
    m_wasMember = false;
}

bool CellMembership::isMember() const
{
    return m_state.findProcess(m_options.self.host, m_options.self.incarnation) != nullptr;
}

bool CellMembership::isWriter() const
{
    return m_epoch > 0 && m_state.writer == m_options.self.host
        && m_state.writerIncarnation == m_options.self.incarnation;
}

KnownState CellMembership::knownState() const
{
    return { .self = m_options.self.host,
        .incarnation = m_options.self.incarnation,
        .cell = m_state,
        .epoch = m_epoch,
        .configRevision = m_configRevision };
}

TimePoint CellMembership::permittedUntil() const
{
    return m_lease.permittedUntil(knownState(), m_contacts);
}

TimePoint CellMembership::evidenceUntil() const
{
    return m_lease.evidenceUntil(knownState());
}

ObjectVersion CellMembership::acknowledgedEpoch() const
{
    std::vector<ObjectVersion> epochs;
    for (const Member& member : m_state.members) {
        const PeerContact* contact = m_contacts.find(member);
        if (member.host == m_options.self.host)
            epochs.push_back(m_epoch);
        else if (!m_contacts.isGone(processOf(member)))
            epochs.push_back(contact ? contact->epoch : 0);
    }
    if (epochs.empty())
        return 0;
    std::sort(epochs.begin(), epochs.end(), std::greater<>());
    return epochs.at(epochs.size() / 2);
}

void CellMembership::applyState(const CellState& state, ObjectVersion version, TimePoint now)
{
    m_isStateKnown = true;
    if (version <= m_epoch)
        return;
    const bool wasWriter = isWriter();
    m_state = state;
    m_epoch = version;
    m_ifVersion = version;
    m_epochChangedAt = now;
    m_wasMember = m_wasMember || isMember();
    if (isWriter() && !wasWriter)
        m_writerSince = now;
}

void CellMembership::evictExpired(TimePoint now)
{
    std::erase_if(m_heartbeats, [this, now](const auto& entry) {
        return now - entry.second.receivedAt > m_options.removalTime;
    });
    std::set<ProcessId> referenced;
    for (const Member& member : listPeers())
        referenced.insert(processOf(member));
    for (const auto& [server, home] : m_state.homes) {
        referenced.insert({ home.home, home.incarnation });
        referenced.insert({ home.unconfirmedHome, home.unconfirmedIncarnation });
    }
    m_contacts.evictGoneExcept(referenced);
}

CellState CellMembership::planNext(TimePoint now) const
{
    std::map<HostId, ReceivedHeartbeat> heartbeats = m_heartbeats;
    heartbeats[m_options.self.host] = { .heartbeat = makeHeartbeat(), .receivedAt = now };
    const CellPlanInputs inputs { .current = m_state,
        .epoch = m_epoch,
        .self = m_options.self,
        .contacts = m_contacts,
        .heartbeats = heartbeats,
        .catalogue = m_catalogue,
        .now = now,
        .removalTime = m_options.removalTime,
        .pollingSince = std::max(m_startedAt, m_writerSince) };
    return CellPlanner(inputs).plan();
}

std::optional<WriteCell> CellMembership::chooseWrite(TimePoint now)
{
    if (!m_isStateKnown || m_isWriting || now - m_writeBegunAt < m_options.changeInterval)
        return std::nullopt;
    const bool mayWrite = isWriter() ? !shouldYield(now) : isTakeoverDue(now);
    if (!mayWrite)
        return std::nullopt;
    CellState next = planNext(now);
    if (!isWriteDue(next, now))
        return std::nullopt;
    return WriteCell { .state = std::move(next), .ifVersion = m_ifVersion };
}

bool CellMembership::isWriteDue(const CellState& next, TimePoint now) const
{
    if (now - m_writeBegunAt >= m_options.renewInterval)
        return true;
    CellState renewed = m_state;
    renewed.renewals = next.renewals;
    return isWriter() && !m_unknownOutcomeSince && renewed != next;
}

bool CellMembership::isTakeoverDue(TimePoint now) const
{
    if (m_intent == MembershipIntent::Leave)
        return false;
    if (m_epoch == 0)
        return true;
    std::vector<HostId> hosts;
    for (const Member& member : m_state.members)
        hosts.push_back(member.host);
    const std::vector<HostId> order = rankHosts(successionKey, hosts);
    // Daemons that are not members yet rank after all members.
    const auto rank = std::find(order.begin(), order.end(), m_options.self.host) - order.begin();
    return now - m_epochChangedAt
        >= m_options.renewInterval * m_options.missedRenewals + m_options.successionStep * rank;
}

bool CellMembership::hasTooFewContacts(TimePoint now) const
{
    const TimePoint limit = now - m_options.removalTime;
    std::size_t reachable = 0;
    std::size_t runningMembers = 0;
    for (const Member& member : m_state.members) {
        if (m_contacts.isGone(processOf(member)))
            continue;
        ++runningMembers;
        if (member.host == m_options.self.host || m_contacts.hasRespondedSince(member, limit))
            ++reachable;
    }
    return reachable * 2 < runningMembers;
}

bool CellMembership::shouldYield(TimePoint now)
{
    const bool hasPolledLongEnough
        = now - std::max(m_startedAt, m_writerSince) >= m_options.removalTime;
    if (!hasPolledLongEnough || !hasTooFewContacts(now))
        return false;
    if (m_yieldStartedAt == TimePoint {} || now - m_yieldStartedAt >= m_options.yieldInterval)
        m_yieldStartedAt = now;
    // Long enough for any member to take over. After that, this daemon resumes writing.
    return now - m_yieldStartedAt < m_options.renewInterval * m_options.missedRenewals * 2;
}

}
