#include "cellsimulation.h"

#include "libapricot/cataloguejson.h"
#include "libapricot/cellstatejson.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

using namespace Apricot;

namespace {

constexpr Milliseconds stepInterval { 50 };
constexpr Milliseconds visibilityLimit { 7000 };
const std::string cellKey = "cells/test";

std::optional<VersionedCell> versionedCell(const std::optional<StoreObject>& object)
{
    if (!object)
        return std::nullopt;
    return VersionedCell { .state = parseCellState(object->value), .version = object->version };
}

}

CellSimulation::CellSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    RuntimeClock::pause();
    for (int index = 0; index < m_options.serverCount; ++index) {
        const BackendServer server { .id = BackendServerId("server-" + std::to_string(index)),
            .pool = PoolId("pool"),
            .host = HostId("machine"),
            .failureDomain = FailureDomainId("other"),
            .address = "127.0.0.1",
            .port = 1 };
        m_store.put("servers/" + server.id.value(), toJson(server));
    }
    for (int index = 0; index < m_options.hostCount; ++index) {
        m_nodes.emplace_back();
        m_nodes.back().host = HostId("host-" + std::to_string(index));
        startNode(m_nodes.back());
    }
}

CellSimulation::~CellSimulation()
{
    RuntimeClock::resume();
}

std::string CellSimulation::run()
{
    const TimePoint faultsEndAt = now() + m_options.faultDuration;
    const TimePoint endAt = faultsEndAt + m_options.recoveryDuration;
    while (now() < faultsEndAt && m_violation.empty()) {
        injectFaults();
        step();
    }
    endFaults();
    while (now() < endAt && m_violation.empty())
        step();
    if (m_violation.empty())
        checkRecovery();
    return m_violation;
}

int CellSimulation::drawBelow(int bound)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
}

Duration CellSimulation::drawDelay()
{
    return Milliseconds(1 + drawBelow(chance(20) ? 800 : 40));
}

void CellSimulation::startNode(Node& node)
{
    ++node.startCount;
    node.isAlive = true;
    node.isHostGone = false;
    node.frozenUntil = {};
    node.highestEpoch = 0;
    node.highestConfigVersion = 0;
    node.acknowledgedHomes.clear();
    node.config = std::make_unique<ConfigStore>();
    node.membership = std::make_unique<CellMembership>(
        CellMembershipOptions { .self = { .host = node.host,
                                    .incarnation = std::to_string(node.startCount) + ".0",
                                    .failureDomain = FailureDomainId("zone") } },
        now());
}

void CellSimulation::schedule(const Node& node, Duration delay, std::function<void(Node&)> handle)
{
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    m_deliveries.emplace(now() + delay, Delivery { index, node.startCount, std::move(handle) });
}

void CellSimulation::step()
{
    RuntimeClock::advance(stepInterval);
    if (m_areReadsStale)
        m_lastStaleReadAt = now();
    // A thawed member acts on its old state before it receives the messages queued for it.
    checkInvariants();
    handleDueDeliveries();
    for (Node& node : m_nodes) {
        if (node.isAlive && !isFrozen(node))
            runNode(node);
    }
    checkInvariants();
}

void CellSimulation::handleDueDeliveries()
{
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= now()) {
        Delivery delivery = m_deliveries.extract(m_deliveries.begin()).mapped();
        Node& node = m_nodes[delivery.nodeIndex];
        if (!node.isAlive || node.startCount != delivery.startCount)
            continue;
        if (isFrozen(node))
            m_deliveries.emplace(node.frozenUntil, std::move(delivery));
        else
            delivery.handle(node);
    }
}

void CellSimulation::runNode(Node& node)
{
    if (now() >= node.nextHeartbeatAt) {
        node.nextHeartbeatAt = now() + Milliseconds(500);
        for (const Member& peer : node.membership->listPeers())
            sendHeartbeat(node, peer);
    }
    if (now() >= node.nextConfigReadAt) {
        node.nextConfigReadAt = now() + Milliseconds(1000);
        readConfig(node);
    }
    if (node.membership->isRemoved())
        node.membership->rejoin(std::to_string(node.startCount) + "." + std::to_string(now().time_since_epoch().count()));
    const std::shared_ptr<const Catalogue> catalogue
        = node.config->revision() > 0 ? node.config->catalogue() : nullptr;
    node.membership->setCatalogue(catalogue, node.config->revision());
    node.membership->setHomeReport({ .appliedEpoch = node.membership->epoch() });
    if (now() < node.nextTickAt)
        return;
    node.nextTickAt = now() + Milliseconds(100);
    for (const CellAction& action : node.membership->tick(now()))
        perform(node, action);
}

void CellSimulation::perform(Node& node, const CellAction& action)
{
    if (const auto* writeAction = std::get_if<WriteCell>(&action))
        writeCell(node, *writeAction);
    else
        readCell(node);
}

void CellSimulation::readCell(const Node& node)
{
    schedule(node, drawDelay(), [this](Node& reader) {
        if (now() < m_outageUntil || reader.isCutFromPlatform)
            return reader.membership->onReadFailed();
        const ObjectVersion revisionsBehind = m_areReadsStale ? drawBelow(5) : 0;
        const ObjectVersion revision = m_store.revision() - revisionsBehind;
        reader.membership->onRead(versionedCell(m_store.get(cellKey, revision)), now());
    });
}

void CellSimulation::writeCell(const Node& node, const WriteCell& write)
{
    const TimePoint startedAt = now();
    if (now() < m_outageUntil || node.isCutFromPlatform) {
        schedule(node, drawDelay(), [this, write, startedAt](Node& writer) {
            writer.membership->onWriteFinished(write, CellWriteRefused {}, startedAt, now());
        });
        return;
    }
    // The write reaches the platform after its transit time. It is postponed while its sender is frozen
    // and dropped if its sender dies.
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    const Duration transitTime = drawDelay();
    const int startCount = node.startCount;
    m_deliveries.emplace(now() + transitTime,
        Delivery { index, startCount, [this, write, startedAt](Node& writer) {
                      commitWrite(writer, write, startedAt);
                  } });
}

void CellSimulation::commitWrite(const Node& node, const WriteCell& write, TimePoint startedAt)
{
    const StoreResult result = m_store.put(cellKey, cellStateToJson(write.state), write.ifVersion);
    CellWriteOutcome outcome = CellWriteUnknown {};
    if (m_areWriteResponsesLost && chance(3)) {
        schedule(node, Milliseconds(1500), [this, write, startedAt](Node& writer) {
            writer.membership->onWriteFinished(write, CellWriteUnknown {}, startedAt, now());
        });
        return;
    }
    if (const auto* accepted = std::get_if<StoreAccepted>(&result))
        outcome = CellWriteAccepted { .version = accepted->version };
    else
        outcome = CellWriteConflict { versionedCell(std::get<StoreConflict>(result).current) };
    schedule(node, drawDelay(), [this, write, outcome, startedAt](Node& writer) {
        writer.membership->onWriteFinished(write, outcome, startedAt, now());
    });
}

void CellSimulation::sendHeartbeat(Node& node, const Member& peer)
{
    Node* peerNode = findNode(peer.host);
    const ProcessId peerProcess = processOf(peer);
    if (!peerNode || peerNode->isHostGone || !canCommunicate(node, *peerNode))
        return;
    const TimePoint sentAt = now();
    if (!peerNode->isAlive) {
        schedule(node, drawDelay(), [peerProcess](Node& sender) { sender.membership->onProcessGone(peerProcess); });
        return;
    }
    const CellHeartbeat heartbeat = node.membership->makeHeartbeat();
    const auto senderIndex = static_cast<std::size_t>(&node - m_nodes.data());
    const int startCount = node.startCount;
    const auto peerIndex = static_cast<std::size_t>(peerNode - m_nodes.data());
    schedule(*peerNode, drawDelay(), [=, this](Node& responder) {
        const CellHeartbeatResponse response = responder.membership->respondTo(heartbeat, now());
        Node& sender = m_nodes[senderIndex];
        if (sender.startCount != startCount || !canCommunicate(sender, responder))
            return;
        schedule(sender, drawDelay(), [=, this](Node& receiver) {
            receiver.membership->onHeartbeatResponse(peerProcess, response, sentAt, now());
            if (response.configRevision > receiver.config->revision())
                fetchConfig(receiver, peerIndex);
        });
    });
}

void CellSimulation::readConfig(const Node& node)
{
    if (now() < m_outageUntil || node.isCutFromPlatform)
        return;
    const ObjectVersion revisionsBehind = m_areReadsStale ? drawBelow(5) : 0;
    const ObjectVersion revision = m_store.revision() - revisionsBehind;
    std::vector<ConfigDelta> deltas;
    for (const std::string& prefix : ConfigStore::prefixes()) {
        ConfigDelta delta { .prefix = prefix, .isSnapshot = true, .revision = revision };
        for (const StoreObject& object : m_store.list(prefix, revision).objects)
            delta.objects.push_back(
                { object.key, object.version, boost::json::serialize(object.value) });
        deltas.push_back(std::move(delta));
    }
    schedule(node, drawDelay(), [deltas](Node& reader) {
        for (const ConfigDelta& delta : deltas)
            reader.config->apply(delta);
    });
}

void CellSimulation::fetchConfig(Node& node, std::size_t peerIndex)
{
    if (!m_nodes[peerIndex].isAlive || !canCommunicate(node, m_nodes[peerIndex]) || isFrozen(m_nodes[peerIndex]))
        return;
    std::vector<ConfigDelta> deltas;
    for (const std::string& prefix : ConfigStore::prefixes())
        deltas.push_back(
            m_nodes[peerIndex].config->deltaSince(prefix, node.config->revision(prefix)));
    schedule(node, drawDelay(), [deltas](Node& reader) {
        for (const ConfigDelta& delta : deltas)
            reader.config->apply(delta);
    });
}

CellSimulation::Node* CellSimulation::findNode(const HostId& host)
{
    for (Node& node : m_nodes) {
        if (node.host == host)
            return &node;
    }
    return nullptr;
}

bool CellSimulation::canCommunicate(const Node& left, const Node& right) const
{
    return !left.isCutFromPeers && !right.isCutFromPeers;
}

void CellSimulation::injectFaults()
{
    Node& node = m_nodes[static_cast<std::size_t>(drawBelow(m_options.hostCount))];
    if (chance(60) && node.isAlive)
        node.frozenUntil = now() + Milliseconds(drawBelow(12000));
    if (chance(150) && node.isAlive) {
        node.isAlive = false;
        node.isHostGone = chance(2);
    }
    if (chance(40) && !node.isAlive)
        startNode(node);
    if (chance(80))
        node.isCutFromPlatform = !node.isCutFromPlatform;
    if (chance(80))
        node.isCutFromPeers = !node.isCutFromPeers;
    if (chance(40)) {
        node.isCutFromPlatform = false;
        node.isCutFromPeers = false;
    }
    if (chance(300))
        m_outageUntil = now() + Milliseconds(drawBelow(10000));
    if (chance(100))
        m_areReadsStale = !m_areReadsStale;
    if (chance(100))
        m_areWriteResponsesLost = !m_areWriteResponsesLost;
    if (chance(200))
        changeDomainState();
}

// A majority that can't read the platform can't distinguish that from an outage and stays permitted,
// so that a late domain change is no violation then.
bool CellSimulation::canMajorityReachPlatform(const Node& node)
{
    if (now() < std::max(m_outageUntil, m_lastStaleReadAt) + visibilityLimit)
        return false;
    const std::vector<Member>& members = node.membership->state().members;
    return isMajority(members, [this](const Member& member) {
        return now() >= findNode(member.host)->lastCutFromPlatformAt + visibilityLimit;
    });
}

void CellSimulation::endFaults()
{
    // Records the end of the outage instead of clearing it: members first have to read what they missed,
    // so the visibility limit counts from there.
    m_outageUntil = std::min(m_outageUntil, now());
    m_areReadsStale = false;
    m_areWriteResponsesLost = false;
    for (Node& node : m_nodes) {
        node.frozenUntil = {};
        node.isCutFromPlatform = false;
        node.isCutFromPeers = false;
        if (!node.isAlive)
            startNode(node);
    }
}

void CellSimulation::changeDomainState()
{
    if (now() < m_outageUntil || now() - m_domainChangedAt < visibilityLimit)
        return;
    const bool isOut = chance(2);
    const StoreResult result
        = m_store.put("domains/other", toJson(isOut ? ServiceState::Out : ServiceState::In));
    m_domainVersion = std::get<StoreAccepted>(result).version;
    m_domainChangedAt = now();
}

bool CellSimulation::isPermitted(const Node& node) const
{
    return now() < node.membership->permittedUntil();
}

bool CellSimulation::isAwaitingPredecessor(const Node& node, const HomeAssignment& home) const
{
    if (home.unconfirmedHome.empty())
        return false;
    // 3 s is the evidence lease: a predecessor that is cut off has lost its permission by then.
    for (const auto& [server, acknowledged] : node.acknowledgedHomes) {
        if (acknowledged.first == home.since && node.membership->state().homes.at(server) == home)
            return now() < acknowledged.second + Milliseconds(3000);
    }
    return true;
}

void CellSimulation::recordAcknowledgedHomes(Node& node)
{
    for (const auto& [server, home] : node.membership->state().homes) {
        auto& entry = node.acknowledgedHomes[server];
        if (entry.first != home.since && node.membership->acknowledgedEpoch() >= home.since)
            entry = { home.since, now() };
    }
}

void CellSimulation::checkInvariants()
{
    for (Node& node : m_nodes) {
        if (node.isAlive && !isFrozen(node))
            checkNode(node);
    }
    checkHomes();
}

void CellSimulation::checkNode(Node& node)
{
    recordAcknowledgedHomes(node);
    if (node.isCutFromPlatform)
        node.lastCutFromPlatformAt = now();
    if (node.membership->epoch() < node.highestEpoch)
        recordViolation("epoch decreased at " + node.host.value());
    node.highestEpoch = node.membership->epoch();
    const ObjectVersion configVersion = node.config->catalogue()->version;
    if (configVersion < node.highestConfigVersion)
        recordViolation("configuration version decreased at " + node.host.value());
    node.highestConfigVersion = configVersion;
    if (configVersion >= m_domainVersion || now() < m_domainChangedAt + visibilityLimit)
        return;
    const bool hasEvidence = now() < node.membership->evidenceUntil();
    if (hasEvidence || (isPermitted(node) && canMajorityReachPlatform(node)))
        recordViolation("domain change not visible at " + node.host.value());
}

void CellSimulation::checkHomes()
{
    std::map<BackendServerId, std::pair<ObjectVersion, HostId>> newestReady;
    std::map<BackendServerId, ObjectVersion> oldestEpochs;
    for (const Node& node : m_nodes) {
        if (!node.isAlive || isFrozen(node) || !isPermitted(node))
            continue;
        for (const auto& [server, home] : node.membership->state().homes) {
            if (home.home != node.host || home.incarnation != node.membership->self().incarnation)
                continue;
            const auto [oldestEpoch, isInserted] = oldestEpochs.try_emplace(server, home.since);
            oldestEpoch->second = std::min(oldestEpoch->second, home.since);
            auto& newest = newestReady[server];
            if (!isAwaitingPredecessor(node, home) && home.since > newest.first)
                newest = { home.since, node.host };
        }
    }
    for (const auto& [server, newest] : newestReady) {
        if (newest.first > oldestEpochs[server])
            recordViolation("two active homes of " + server.value() + ", the newer one is " + newest.second.value());
    }
}

void CellSimulation::checkRecovery()
{
    for (const Node& node : m_nodes) {
        if (!node.membership->isMember() || !isPermitted(node))
            return recordViolation(node.host.value() + " is not a permitted member after the faults ended");
        for (const auto& [server, home] : node.membership->state().homes) {
            if (!node.membership->state().findProcess(home.home, home.incarnation))
                return recordViolation(server.value() + " has a home that is not a member");
            if (!home.unconfirmedHome.empty())
                return recordViolation(server.value() + " still has an unconfirmed home after the faults ended: "
                    + boost::json::serialize(cellStateToJson(node.membership->state())));
        }
    }
}

void CellSimulation::recordViolation(const std::string& violation)
{
    if (m_violation.empty())
        m_violation = violation;
}
