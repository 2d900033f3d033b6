#include "gateway/rollout/rolloutsync.h"

#include "gateway/rollout/unixtime.h"
#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "platform/rollouttranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr Milliseconds reportInterval { 500 };
    // Hosts are a few milliseconds apart; a host of the tree answers at once.
    constexpr Milliseconds reportTimeout { 300 };
    // What a host said of the present is dropped after this time without another report.
    constexpr Milliseconds presentLifetime { 1600 };
    // Time of which evidence counts as recent.
    constexpr Milliseconds recentTime { 3000 };
    // Hosts that may act, in turn, while those before them are not reached.
    constexpr std::size_t maxActingHosts = 4;

}

RolloutSync::RolloutSync(Asio::io_context& context, ServingView& view, RolloutObserver& observer,
    PlatformClient& store, StoreCallCounter& calls, PeerClient& peers, HostId self, MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_observer(observer)
    , m_store(store)
    , m_calls(calls)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_reporters(metrics.gauge("apricot_rollout_reporters",
          "Hosts and subtrees whose reports about roll-outs this host has received lately."))
    , m_changed(context.get_executor())
{
    observer.setChangeHandler([this] { m_changed.notifyAll(); });
}

void RolloutSync::start()
{
    if (m_observer.isEnabled())
        Asio::co_spawn(m_context, run(), Asio::detached);
}

bool RolloutSync::hasWork() const
{
    const auto& known = m_observer.routing().known();
    return std::any_of(known.begin(), known.end(),
        [](const auto& entry) { return !entry.second.stored.isEnded() || entry.second.isStoreBehind; });
}

Asio::awaitable<void> RolloutSync::run()
{
    while (true) {
        while (!hasWork())
            co_await m_changed.wait();
        co_await sleepFor(m_context.get_executor(), reportInterval);
        m_observer.refresh();
        restoreFinalStates();
        if (m_observer.routing().isAnyInProgress())
            co_await reportOnce();
    }
}

std::vector<HostId> RolloutSync::receivers() const
{
    std::vector<HostId> hosts = m_view.hostIds();
    if (!m_view.hosts().contains(m_self))
        hosts.push_back(m_self);
    std::vector<HostId> receivers = findRelayPosition(m_self, hosts).parents;
    std::vector<HostId> ranked = rankHosts("relay", hosts);
    ranked.resize(std::min(ranked.size(), maxActingHosts));
    for (const HostId& host : ranked) {
        if (std::find(receivers.begin(), receivers.end(), host) == receivers.end())
            receivers.push_back(host);
    }
    if (std::find(receivers.begin(), receivers.end(), m_self) == receivers.end())
        receivers.push_back(m_self);
    return receivers;
}

void RolloutSync::addReceived(std::vector<RolloutReport>& reports)
{
    const TimePoint now = RuntimeClock::now();
    std::size_t reporters = 0;
    for (RolloutReport& report : reports) {
        if (const auto received = m_received.find(report.order); received != m_received.end()) {
            report.evidence.add(received->second);
            m_received.erase(received);
        }
        auto& present = m_present[report.order];
        std::erase_if(present, [now](const auto& entry) { return entry.second.receivedAt + presentLifetime < now; });
        for (const auto& [host, said] : present) {
            report.hosts += said.hosts;
            report.shiftedHosts += said.shiftedHosts;
            report.inFlightAtReplaced += said.inFlightAtReplaced;
            if (said.fault && !report.fault)
                report.fault = said.fault;
        }
        reporters += present.size();
    }
    m_reporters.set(static_cast<double>(reporters));
}

Asio::awaitable<void> RolloutSync::reportOnce()
{
    RolloutReports reports { .host = m_self, .reports = m_observer.drainReports() };
    addReceived(reports.reports);
    const std::string text = toJson(reports);
    for (const HostId& receiver : receivers()) {
        if (receiver == m_self)
            co_return act(reports.reports);
        if (co_await sendReports(receiver, text))
            co_return;
    }
}

Asio::awaitable<bool> RolloutSync::sendReports(HostId receiver, std::string reports)
{
    const auto host = m_view.hosts().find(receiver);
    if (host == m_view.hosts().end())
        co_return false;
    std::string failure;
    try {
        Endpoint endpoint = host->second.endpoint;
        Message message = TextMessage { topic, std::move(reports) };
        const Message response = co_await m_peers.call(std::move(endpoint), std::move(message), reportTimeout);
        applyFindings(std::get<TextMessage>(response).json, receiver);
        co_return true;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    writeLog(LogLevel::Info, "rollout_report_failed", { { "peer", receiver.value() }, { "reason", failure } });
    co_return false;
}

void RolloutSync::applyFindings(const std::string& text, const HostId& source)
{
    for (const RolloutFinding& finding : readRolloutFindings(text))
        m_observer.applyFault(finding.order, finding.fault, source.value());
}

std::string RolloutSync::respondTo(const std::string& text)
{
    const RolloutReports reports = readRolloutReports(text);
    const TimePoint now = RuntimeClock::now();
    std::vector<RolloutFinding> findings;
    for (const RolloutReport& report : reports.reports) {
        const auto known = m_observer.routing().known().find(report.order.pool);
        // A host that has not heard of the order yet must not keep what it cannot pass on.
        if (known == m_observer.routing().known().end() || known->second.stored.order != report.order)
            continue;
        m_received[report.order].add(report.evidence);
        m_present[report.order][reports.host]
            = { report.hosts, report.shiftedHosts, report.inFlightAtReplaced, report.fault, now };
        if (known->second.fault)
            findings.push_back({ report.order, *known->second.fault });
        else if (known->second.stored.status && known->second.stored.status->state == RolloutState::Reverted)
            findings.push_back({ report.order, known->second.stored.status->reason });
    }
    return toJson(findings);
}

RolloutFacts RolloutSync::factsOf(
    const RolloutRouting::Known& known, const RolloutReport& report, Gathered& gathered) const
{
    const TimePoint now = RuntimeClock::now();
    gathered.all.add(report.evidence);
    gathered.recent.emplace_back(now, report.evidence);
    while (gathered.recent.front().first + recentTime < now)
        gathered.recent.pop_front();
    const auto config = m_view.config();
    RolloutFacts facts { .stored = known.stored,
        .elapsed = known.elapsed(now),
        .sinceShift = known.shiftSeenAt ? std::chrono::floor<Milliseconds>(now - *known.shiftSeenAt) : Milliseconds(0),
        .isPoolKnown = !config || config->findPool(report.order.pool),
        .hosts = std::max<std::size_t>(m_view.hosts().size(), 1),
        .reportingHosts = report.hosts,
        .shiftedHosts = report.shiftedHosts,
        .inFlightAtReplaced = report.inFlightAtReplaced,
        .evidence = gathered.all,
        .fault = report.fault };
    for (const auto& [time, evidence] : gathered.recent)
        facts.recentEvidence.add(evidence);
    // The replaced versions serve no longer beside the target in a shift; they are compared by how they served before.
    for (const auto& [name, route] : gathered.all.routes())
        facts.recentEvidence.route(name).replaced = route.replaced;
    for (const auto& [id, server] : m_view.servers().all()) {
        if (server.server.pool != report.order.pool || server.server.isDraining)
            continue;
        if (server.server.softwareVersion == report.order.target)
            ++facts.targetServers;
        else
            facts.otherVersions.insert(server.server.softwareVersion);
    }
    return facts;
}

void RolloutSync::act(const std::vector<RolloutReport>& reports)
{
    std::erase_if(m_gathered, [this](const auto& entry) {
        const auto known = m_observer.routing().known().find(entry.first.pool);
        return !entry.second.isWriting
            && (known == m_observer.routing().known().end() || known->second.stored.order != entry.first);
    });
    for (const RolloutReport& report : reports) {
        const auto found = m_observer.routing().known().find(report.order.pool);
        // The order may have changed while other hosts were asked to act.
        if (found == m_observer.routing().known().end() || found->second.stored.order != report.order)
            continue;
        const RolloutRouting::Known& known = found->second;
        Gathered& gathered = m_gathered[report.order];
        const RolloutFacts facts = factsOf(known, report, gathered);
        if (known.stored.status) {
            if (const auto fault = findFault(facts))
                m_observer.applyFault(report.order, *fault, "reports");
        }
        auto next = planRollout(facts, unixMilliseconds());
        if (next)
            startWrite(std::move(*next), known.stored.revision);
    }
}

void RolloutSync::startWrite(RolloutStatus status, std::uint64_t revision)
{
    if (std::exchange(m_gathered[status.order].isWriting, true))
        return;
    Asio::co_spawn(m_context, write(std::move(status), revision), Asio::detached);
}

void RolloutSync::restoreFinalStates()
{
    if (receivers().front() != m_self)
        return;
    for (const auto& [pool, known] : m_observer.routing().known()) {
        if (known.isStoreBehind)
            startWrite(*known.stored.status, known.stored.revision);
    }
}

Asio::awaitable<void> RolloutSync::write(RolloutStatus status, std::uint64_t revision)
{
    const RolloutOrder order = status.order;
    const std::string key = Platform::rolloutKey(order.pool);
    std::string outcome;
    std::optional<StoredRollout> current;
    m_calls.record(key, "step");
    try {
        boost::json::value value = Platform::makeRolloutStatus(status);
        const WriteResult result = co_await m_store.putStatus(key, std::move(value), revision);
        if (const auto* stored = std::get_if<WriteStored>(&result)) {
            outcome = "stored";
            current = StoredRollout { .order = order, .status = status, .revision = stored->version };
        } else if (const auto* conflict = std::get_if<WriteConflict>(&result)) {
            outcome = "conflict";
            if (conflict->current)
                current = Platform::readRollout(*conflict->current);
        } else {
            // The watch shows whether the write took effect; until then its condition holds or not.
            outcome = "unknown: " + std::get<WriteUnknown>(result).detail;
        }
    } catch (const std::exception& error) {
        outcome = std::string("failed: ") + error.what();
    }
    logWrite(status, revision, outcome);
    if (current)
        m_observer.apply(*current);
    const auto gathered = m_gathered.find(order);
    if (gathered != m_gathered.end())
        gathered->second.isWriting = false;
}

void RolloutSync::logWrite(const RolloutStatus& status, std::uint64_t revision, std::string_view outcome) const
{
    writeLog(LogLevel::Info, "rollout_step_written",
        { { "pool", status.order.pool.value() }, { "target", status.order.target.value() },
            { "state", rolloutStateName(status.state) }, { "phase", rolloutPhaseName(status.phase) },
            { "reason", status.reason }, { "revision", revision }, { "outcome", outcome } });
}

}
