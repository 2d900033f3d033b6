#include "cellsimulation.h"

#include "libapricot/cataloguejson.h"
#include "libapricot/cellstatejson.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

using namespace Apricot;

namespace {

constexpr Milliseconds stepTime { 50 };
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
    for (int index = 0; index < m_options.servers; ++index) {
        const BackendServer server { .id = BackendServerId("server-" + std::to_string(index)),
            .pool = PoolId("pool"),
            .host = HostId("machine"),
            .failureDomain = FailureDomainId("other"),
            .address = "127.0.0.1",
            .port = 1 };
        m_store.put("servers/" + server.id.value(), toJson(server));
    }
    for (int index = 0; index < m_options.hosts; ++index) {
        m_nodes.emplace_back();
        m_nodes.back().host = HostId("host-" + std::to_string(index));
        start(m_nodes.back());
    }
}

CellSimulation::~CellSimulation()
{
    RuntimeClock::resume();
}

std::string CellSimulation::run()
{
    const TimePoint calmAt = now() + m_options.faultTime;
    const TimePoint endAt = calmAt + m_options.calmTime;
    while (now() < calmAt && m_violation.empty()) {
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

int CellSimulation::pick(int below)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
}

Duration CellSimulation::delay()
{
    return Milliseconds(1 + pick(chance(20) ? 800 : 40));
}

void CellSimulation::start(Node& node)
{
    ++node.starts;
    node.isAlive = true;
    node.isHostGone = false;
    node.frozenUntil = {};
    node.highestEpoch = 0;
    node.highestConfig = 0;
    node.acknowledged.clear();
    node.config = std::make_unique<ConfigStore>();
    node.membership = std::make_unique<CellMembership>(
        CellMembershipOptions { .self = { .host = node.host,
                                    .incarnation = std::to_string(node.starts) + ".0",
                                    .failureDomain = FailureDomainId("zone") } },
        now());
}

void CellSimulation::later(const Node& node, Duration after, std::function<void(Node&)> deliver)
{
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    m_deliveries.emplace(now() + after, Delivery { index, node.starts, std::move(deliver) });
}

void CellSimulation::step()
{
    RuntimeClock::advance(stepTime);
    if (m_areReadsStale)
        m_staleAt = now();
    // A thawed member acts on what it knew before anything that was queued for it arrives.
    check();
    deliverDue();
    for (Node& node : m_nodes) {
        if (node.isAlive && !isFrozen(node))
            act(node);
    }
    check();
}

void CellSimulation::deliverDue()
{
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= now()) {
        Delivery delivery = m_deliveries.extract(m_deliveries.begin()).mapped();
        Node& node = m_nodes[delivery.node];
        if (!node.isAlive || node.starts != delivery.start)
            continue;
        if (isFrozen(node))
            m_deliveries.emplace(node.frozenUntil, std::move(delivery));
        else
            delivery.deliver(node);
    }
}

void CellSimulation::act(Node& node)
{
    if (now() >= node.askAt) {
        node.askAt = now() + Milliseconds(500);
        for (const Member& peer : node.membership->listPeers())
            ask(node, peer);
    }
    if (now() >= node.configAt) {
        node.configAt = now() + Milliseconds(1000);
        readConfig(node);
    }
    if (node.membership->isRemoved())
        node.membership->rejoin(std::to_string(node.starts) + "." + std::to_string(now().time_since_epoch().count()));
    const std::shared_ptr<const Catalogue> catalogue
        = node.config->revision() > 0 ? node.config->catalogue() : nullptr;
    node.membership->setCatalogue(catalogue, node.config->revision());
    node.membership->setHomeReport({ .appliedEpoch = node.membership->epoch() });
    if (now() < node.tickAt)
        return;
    node.tickAt = now() + Milliseconds(100);
    for (const CellAction& action : node.membership->tick(now()))
        perform(node, action);
}

void CellSimulation::perform(Node& node, const CellAction& action)
{
    if (const auto* writeAction = std::get_if<WriteCell>(&action))
        write(node, *writeAction);
    else
        read(node);
}

void CellSimulation::read(const Node& node)
{
    later(node, delay(), [this](Node& reader) {
        if (now() < m_outageUntil || reader.isCutFromPlatform)
            return reader.membership->onReadFailed();
        const ObjectVersion back = m_areReadsStale ? pick(5) : 0;
        const ObjectVersion revision = m_store.revision() - back;
        reader.membership->onRead(versionedCell(m_store.get(cellKey, revision)), now());
    });
}

void CellSimulation::write(const Node& node, const WriteCell& write)
{
    const TimePoint begunAt = now();
    if (now() < m_outageUntil || node.isCutFromPlatform) {
        later(node, delay(), [this, write, begunAt](Node& writer) {
            writer.membership->onWriteFinished(write, CellWriteRefused {}, begunAt, now());
        });
        return;
    }
    // The call is on its way: it takes effect even when its sender freezes or dies meanwhile.
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    const Duration transit = delay();
    const int start = node.starts;
    m_deliveries.emplace(now() + transit,
        Delivery { index, start, [this, write, begunAt](Node& writer) {
                      store(writer, write, begunAt);
                  } });
}

void CellSimulation::store(const Node& node, const WriteCell& write, TimePoint begunAt)
{
    const StoreResult result = m_store.put(cellKey, cellStateToJson(write.state), write.ifVersion);
    CellWriteOutcome outcome = CellWriteUnknown {};
    if (m_areAnswersLost && chance(3)) {
        later(node, Milliseconds(1500), [this, write, begunAt](Node& writer) {
            writer.membership->onWriteFinished(write, CellWriteUnknown {}, begunAt, now());
        });
        return;
    }
    if (const auto* accepted = std::get_if<StoreAccepted>(&result))
        outcome = CellWriteAccepted { .version = accepted->version };
    else
        outcome = CellWriteConflict { versionedCell(std::get<StoreConflict>(result).current) };
    later(node, delay(), [this, write, outcome, begunAt](Node& writer) {
        writer.membership->onWriteFinished(write, outcome, begunAt, now());
    });
}

void CellSimulation::ask(Node& node, const Member& peer)
{
    Node* other = findNode(peer.host);
    const ProcessId asked = processOf(peer);
    if (!other || other->isHostGone || !canTalk(node, *other))
        return;
    const TimePoint askedAt = now();
    if (!other->isAlive) {
        later(node, delay(), [asked](Node& asker) { asker.membership->onProcessGone(asked); });
        return;
    }
    const CellHeartbeat heartbeat = node.membership->makeHeartbeat();
    const auto askerIndex = static_cast<std::size_t>(&node - m_nodes.data());
    const int start = node.starts;
    const auto otherIndex = static_cast<std::size_t>(other - m_nodes.data());
    later(*other, delay(), [=, this](Node& answerer) {
        const CellHeartbeatResponse answer = answerer.membership->respondTo(heartbeat, now());
        Node& asker = m_nodes[askerIndex];
        if (asker.starts != start || !canTalk(asker, answerer))
            return;
        later(asker, delay(), [=, this](Node& receiver) {
            receiver.membership->onHeartbeatResponse(asked, answer, askedAt, now());
            if (answer.configRevision > receiver.config->revision())
                fetchConfig(receiver, otherIndex);
        });
    });
}

void CellSimulation::readConfig(const Node& node)
{
    if (now() < m_outageUntil || node.isCutFromPlatform)
        return;
    const ObjectVersion back = m_areReadsStale ? pick(5) : 0;
    const ObjectVersion revision = m_store.revision() - back;
    std::vector<ConfigDelta> deltas;
    for (const std::string& prefix : ConfigStore::prefixes()) {
        ConfigDelta delta { .prefix = prefix, .isSnapshot = true, .revision = revision };
        for (const StoreObject& object : m_store.list(prefix, revision).objects)
            delta.objects.push_back(
                { object.key, object.version, boost::json::serialize(object.value) });
        deltas.push_back(std::move(delta));
    }
    later(node, delay(), [deltas](Node& reader) {
        for (const ConfigDelta& delta : deltas)
            reader.config->apply(delta);
    });
}

void CellSimulation::fetchConfig(Node& node, std::size_t from)
{
    if (!m_nodes[from].isAlive || !canTalk(node, m_nodes[from]) || isFrozen(m_nodes[from]))
        return;
    std::vector<ConfigDelta> deltas;
    for (const std::string& prefix : ConfigStore::prefixes())
        deltas.push_back(
            m_nodes[from].config->deltaSince(prefix, node.config->revision(prefix)));
    later(node, delay(), [deltas](Node& reader) {
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

bool CellSimulation::canTalk(const Node& left, const Node& right) const
{
    return !left.isCutFromPeers && !right.isCutFromPeers;
}

void CellSimulation::injectFaults()
{
    Node& node = m_nodes[static_cast<std::size_t>(pick(m_options.hosts))];
    if (chance(60) && node.isAlive)
        node.frozenUntil = now() + Milliseconds(pick(12000));
    if (chance(150) && node.isAlive) {
        node.isAlive = false;
        node.isHostGone = chance(2);
    }
    if (chance(40) && !node.isAlive)
        start(node);
    if (chance(80))
        node.isCutFromPlatform = !node.isCutFromPlatform;
    if (chance(80))
        node.isCutFromPeers = !node.isCutFromPeers;
    if (chance(40)) {
        node.isCutFromPlatform = false;
        node.isCutFromPeers = false;
    }
    if (chance(300))
        m_outageUntil = now() + Milliseconds(pick(10000));
    if (chance(100))
        m_areReadsStale = !m_areReadsStale;
    if (chance(100))
        m_areAnswersLost = !m_areAnswersLost;
    if (chance(200))
        changeDomain();
}

// A majority that can't read the platform can't tell that from an outage, and goes on.
bool CellSimulation::couldHearOfPlatform(const Node& node)
{
    if (now() < std::max(m_outageUntil, m_staleAt) + visibilityLimit)
        return false;
    const std::vector<Member>& members = node.membership->state().members;
    return isMajority(members, [this](const Member& member) {
        return now() >= findNode(member.host)->cutAt + visibilityLimit;
    });
}

void CellSimulation::endFaults()
{
    // What the outage kept from the members has to reach them first.
    m_outageUntil = std::min(m_outageUntil, now());
    m_areReadsStale = false;
    m_areAnswersLost = false;
    for (Node& node : m_nodes) {
        node.frozenUntil = {};
        node.isCutFromPlatform = false;
        node.isCutFromPeers = false;
        if (!node.isAlive)
            start(node);
    }
}

void CellSimulation::changeDomain()
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

bool CellSimulation::isWaiting(const Node& node, const HomeAssignment& home) const
{
    if (home.unconfirmedHome.empty())
        return false;
    for (const auto& [server, acknowledged] : node.acknowledged) {
        if (acknowledged.first == home.since && node.membership->state().homes.at(server) == home)
            return now() < acknowledged.second + Milliseconds(3000);
    }
    return true;
}

void CellSimulation::noteAcknowledged(Node& node)
{
    for (const auto& [server, home] : node.membership->state().homes) {
        auto& noted = node.acknowledged[server];
        if (noted.first != home.since && node.membership->acknowledgedEpoch() >= home.since)
            noted = { home.since, now() };
    }
}

void CellSimulation::check()
{
    for (Node& node : m_nodes) {
        if (node.isAlive && !isFrozen(node))
            checkNode(node);
    }
    checkHomes();
}

void CellSimulation::checkNode(Node& node)
{
    noteAcknowledged(node);
    if (node.isCutFromPlatform)
        node.cutAt = now();
    if (node.membership->epoch() < node.highestEpoch)
        violate("epoch fell at " + node.host.value());
    node.highestEpoch = node.membership->epoch();
    const ObjectVersion config = node.config->catalogue()->version;
    if (config < node.highestConfig)
        violate("configuration reverted at " + node.host.value());
    node.highestConfig = config;
    if (config >= m_domainVersion || now() < m_domainChangedAt + visibilityLimit)
        return;
    const bool restsOnEvidence = now() < node.membership->evidenceUntil();
    if (restsOnEvidence || (isPermitted(node) && couldHearOfPlatform(node)))
        violate("domain change not visible at " + node.host.value());
}

void CellSimulation::checkHomes()
{
    std::map<BackendServerId, std::pair<ObjectVersion, HostId>> settled;
    std::map<BackendServerId, ObjectVersion> oldest;
    for (const Node& node : m_nodes) {
        if (!node.isAlive || isFrozen(node) || !isPermitted(node))
            continue;
        for (const auto& [server, home] : node.membership->state().homes) {
            if (home.home != node.host || home.incarnation != node.membership->self().incarnation)
                continue;
            const auto [first, isFirst] = oldest.try_emplace(server, home.since);
            first->second = std::min(first->second, home.since);
            auto& newest = settled[server];
            if (!isWaiting(node, home) && home.since > newest.first)
                newest = { home.since, node.host };
        }
    }
    for (const auto& [server, newest] : settled) {
        if (newest.first > oldest[server])
            violate("two homes of " + server.value() + ", the newer " + newest.second.value());
    }
}

void CellSimulation::checkRecovery()
{
    for (const Node& node : m_nodes) {
        if (!node.membership->isMember() || !isPermitted(node))
            return violate(node.host.value() + " did not come back");
        for (const auto& [server, home] : node.membership->state().homes) {
            if (!node.membership->state().findProcess(home.home, home.incarnation))
                return violate(server.value() + " has no home");
            if (!home.unconfirmedHome.empty())
                return violate(server.value() + " has an unconfirmed home: "
                    + boost::json::serialize(cellStateToJson(node.membership->state())));
        }
    }
}

void CellSimulation::violate(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}
