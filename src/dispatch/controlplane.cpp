#include "dispatch/controlplane.h"

#include "libapricot/cellstatejson.h"
#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace Apricot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds platformTimeout { 1200 };
    constexpr Milliseconds tickInterval { 100 };
    constexpr Milliseconds leavingCheckInterval { 100 };
    // Longest wait of the entry daemon's question, so that it renews its permission in time.
    constexpr Milliseconds viewWaitLimit { 1000 };
    // Members beside the writer that read the configuration from the platform.
    constexpr std::size_t extraWatchers = 1;
    constexpr std::string_view watcherKey = "watcher";
    // A permission that has moved by less is not published again.
    constexpr Milliseconds permissionStep { 200 };

    std::string makeIncarnation()
    {
        const auto started = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        std::random_device random;
        return std::to_string(started.count()) + "-" + std::to_string(random());
    }

    CellMembershipOptions membershipOptions(const ControlPlaneOptions& options)
    {
        CellMembershipOptions membership = options.membership;
        membership.self = { .host = options.host,
            .incarnation = makeIncarnation(),
            .failureDomain = options.failureDomain,
            .address = options.endpoint.address,
            .port = options.endpoint.port };
        return membership;
    }

    PeerEndpoint endpointOf(const Member& member)
    {
        return { .address = member.address, .port = member.port };
    }

    std::optional<VersionedCell> parseCell(const std::optional<PlatformObject>& object)
    {
        if (!object)
            return std::nullopt;
        return VersionedCell { parseCellState(object->value), object->version };
    }

}

ControlPlane::ControlPlane(asio::io_context& context, ControlPlaneOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_platform(context,
          { .address = m_options.platform.address,
              .port = m_options.platform.port,
              .host = m_options.host,
              .timeout = platformTimeout })
    , m_peers(context)
    , m_membership(membershipOptions(m_options), RuntimeClock::now())
    , m_config(context, m_platform, m_peers, m_options.config)
    , m_status(context, m_platform, m_options.host)
    , m_view(std::make_shared<ControlView>(ControlView { .self = m_options.host,
          .incarnation = m_membership.self().incarnation,
          .failureDomain = m_options.failureDomain,
          .catalogue = std::make_shared<Catalogue>(),
          .cell = std::make_shared<CellState>() }))
{
}

void ControlPlane::start()
{
    m_config.start([this] { return isWatcher(); }, [this] { takeConfig(); });
    m_status.start();
    asio::co_spawn(m_context, keepCell(), asio::detached);
    asio::co_spawn(m_context, keepHeartbeat(), asio::detached);
}

std::shared_ptr<const ControlView> ControlPlane::view() const
{
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    return m_view;
}

asio::awaitable<std::optional<Message>> ControlPlane::answer(Message question)
{
    std::optional<Message> answer;
    if (const auto* cell = std::get_if<HeartbeatMessage>(&question))
        answer = HeartbeatResponseMessage { m_membership.respondTo(cell->heartbeat, RuntimeClock::now()) };
    else if (const auto* config = std::get_if<ConfigRequestMessage>(&question))
        answer = m_config.answer(config->revisions);
    else if (auto* viewed = std::get_if<ViewRequestMessage>(&question))
        answer = co_await answerView(std::move(*viewed));
    co_return answer;
}

void ControlPlane::beginLeaving()
{
    m_isStopping = true;
    m_membership.beginLeaving();
    publish();
}

asio::awaitable<void> ControlPlane::finishLeaving(Milliseconds timeout)
{
    m_membership.finishLeaving();
    const TimePoint deadline = RuntimeClock::now() + timeout;
    while (m_membership.isMember() && RuntimeClock::now() < deadline)
        co_await sleepFor(m_context.get_executor(), leavingCheckInterval);
}

asio::awaitable<void> ControlPlane::keepCell()
{
    while (true) {
        rejoinIfStopped();
        for (CellAction& action : m_membership.tick(RuntimeClock::now())) {
            if (auto* write = std::get_if<WriteCell>(&action))
                asio::co_spawn(m_context, writeCell(std::move(*write)), asio::detached);
            else
                asio::co_spawn(m_context, readCell(), asio::detached);
        }
        publish();
        co_await sleepFor(m_context.get_executor(), tickInterval);
    }
}

asio::awaitable<void> ControlPlane::keepHeartbeat()
{
    while (true) {
        if (m_options.homeReporter) {
            m_homeReport = co_await m_options.homeReporter();
            m_membership.setHomeReport(m_homeReport);
        }
        for (const Member& peer : m_membership.listPeers()) {
            if (m_asked.insert(processOf(peer)).second)
                asio::co_spawn(m_context, ask(peer), asio::detached);
        }
        co_await sleepFor(m_context.get_executor(), m_options.heartbeatInterval);
    }
}

asio::awaitable<void> ControlPlane::ask(Member peer)
{
    const ProcessId asked = processOf(peer);
    const TimePoint askedAt = RuntimeClock::now();
    try {
        Message question = HeartbeatMessage { m_membership.makeHeartbeat() };
        PeerEndpoint endpoint = endpointOf(peer);
        const Message answer = co_await m_peers.call(
            std::move(endpoint), std::move(question), m_options.heartbeatTimeout);
        if (const auto* cell = std::get_if<HeartbeatResponseMessage>(&answer)) {
            m_membership.onHeartbeatResponse(asked, cell->response, askedAt, RuntimeClock::now());
            m_config.fetchFrom(endpointOf(peer), cell->response.configRevision);
        }
    } catch (const PeerError& error) {
        if (error.failure() == PeerFailure::Refused)
            m_membership.onProcessGone(asked);
    } catch (const std::exception&) {
        // No answer: the peer counts as silent until it gives one.
        m_asked.erase(asked);
        co_return;
    }
    m_asked.erase(asked);
    publish();
}

asio::awaitable<void> ControlPlane::readCell()
{
    try {
        const std::optional<PlatformObject> object
            = co_await m_platform.get("cells/" + m_options.cell);
        m_membership.onRead(parseCell(object), RuntimeClock::now());
    } catch (const PlatformUnavailable&) {
        m_membership.onReadFailed();
    } catch (const CellStateError& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Error, "cell_state_unreadable", fields);
        m_membership.onReadFailed();
    }
}

asio::awaitable<void> ControlPlane::writeCell(WriteCell write)
{
    const TimePoint begunAt = RuntimeClock::now();
    CellWriteOutcome outcome = CellWriteRefused {};
    try {
        outcome = co_await putCell(write);
    } catch (const PlatformUnavailable& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Debug, "cell_write_refused", fields);
    } catch (const CellStateError& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Error, "cell_state_unreadable", fields);
    }
    m_membership.onWriteFinished(write, outcome, begunAt, RuntimeClock::now());
    publish();
}

asio::awaitable<CellWriteOutcome> ControlPlane::putCell(WriteCell write)
{
    const WriteResult result = co_await m_platform.put(
        "cells/" + m_options.cell, cellStateToJson(write.state), write.ifVersion);
    CellWriteOutcome outcome = CellWriteUnknown {};
    if (const auto* stored = std::get_if<WriteStored>(&result))
        outcome = CellWriteAccepted { stored->version };
    else if (const auto* conflict = std::get_if<WriteConflict>(&result))
        outcome = CellWriteConflict { parseCell(conflict->current) };
    co_return outcome;
}

asio::awaitable<ViewResponseMessage> ControlPlane::answerView(ViewRequestMessage question)
{
    const TimePoint deadline = RuntimeClock::now() + std::min(question.wait, viewWaitLimit);
    while (RuntimeClock::now() < deadline) {
        const std::shared_ptr<const ControlView> now = view();
        if (now->catalogue->version > question.catalogueVersion || now->epoch > question.epoch)
            break;
        co_await sleepFor(m_context.get_executor(), tickInterval);
    }
    co_return currentView(question);
}

ViewResponseMessage ControlPlane::currentView(const ViewRequestMessage& question) const
{
    const std::shared_ptr<const ControlView> current = view();
    ViewResponseMessage answer { .self = m_membership.self(),
        .epoch = current->epoch,
        .acknowledgedEpoch = current->acknowledgedEpoch,
        .deltas = m_config.answer(question.revisions).deltas };
    if (current->epoch > question.epoch)
        answer.newerState.push_back(*current->cell);
    const auto left = std::chrono::floor<Milliseconds>(
        current->permittedUntil - RuntimeClock::now());
    answer.permittedFor = std::max(Milliseconds(0), left);
    return answer;
}

bool ControlPlane::isWatcher() const
{
    if (m_membership.isWriter())
        return true;
    std::vector<HostId> others;
    for (const Member& member : m_membership.state().members) {
        if (member.host != m_membership.state().writer && member.state == MemberState::Live)
            others.push_back(member.host);
    }
    std::vector<HostId> order = rankHosts(watcherKey, others);
    order.resize(std::min(order.size(), extraWatchers));
    return std::find(order.begin(), order.end(), m_options.host) != order.end();
}

// After a removal nothing new starts here; the daemon joins again under another incarnation once
// nothing that it sent as a home is in flight.
void ControlPlane::rejoinIfStopped()
{
    if (!m_membership.isRemoved() || m_isStopping) {
        m_removedAt.reset();
        return;
    }
    const TimePoint now = RuntimeClock::now();
    if (!m_removedAt) {
        m_removedAt = now;
        m_removedEpoch = m_membership.epoch();
        writeLog(LogLevel::Warning, "removed_from_cell");
    }
    const bool isStopped = m_options.homeReporter
        ? m_homeReport.appliedEpoch >= m_removedEpoch && m_homeReport.busyServers.empty()
        : now - *m_removedAt >= m_options.rejoinDelay;
    if (isStopped)
        m_membership.rejoin(makeIncarnation());
}

void ControlPlane::takeConfig()
{
    const ConfigStore& store = m_config.store();
    const bool isRead = store.revision() > 0;
    m_membership.setCatalogue(isRead ? store.catalogue() : nullptr, store.revision());
    publish();
}

void ControlPlane::publish()
{
    const std::shared_ptr<const ControlView> before = view();
    const TimePoint limit = RuntimeClock::now() + m_options.membership.evidence.evidenceLease;
    auto after = std::make_shared<ControlView>(ControlView { .self = m_options.host,
        .incarnation = m_membership.self().incarnation,
        .failureDomain = m_options.failureDomain,
        .catalogue = m_config.store().catalogue(),
        .cell = before->epoch == m_membership.epoch()
            ? before->cell
            : std::make_shared<CellState>(m_membership.state()),
        .epoch = m_membership.epoch(),
        .permittedUntil = std::min(limit, m_membership.permittedUntil()),
        .stopping = m_isStopping,
        .acknowledgedEpoch = m_membership.acknowledgedEpoch() });
    const bool isSame = after->incarnation == before->incarnation
        && after->catalogue == before->catalogue && after->epoch == before->epoch
        && after->stopping == before->stopping
        && after->acknowledgedEpoch == before->acknowledgedEpoch
        && after->permittedUntil >= before->permittedUntil
        && after->permittedUntil < before->permittedUntil + permissionStep;
    m_status.update({ .incarnation = after->incarnation,
        .catalogueVersion = after->catalogue->version,
        .invalidObjects = m_config.store().invalidObjects() });
    if (isSame)
        return;
    logChanges(*before, *after);
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    m_view = std::move(after);
}

void ControlPlane::logChanges(const ControlView& before, const ControlView& after) const
{
    if (before.cell->members != after.cell->members) {
        json::array hosts;
        for (const Member& member : after.cell->members)
            hosts.emplace_back(member.host.value());
        json::object fields { { "epoch", after.epoch } };
        fields["members"] = std::move(hosts);
        writeLog(LogLevel::Info, "members_changed", fields);
    }
    if (before.catalogue->version != after.catalogue->version) {
        const json::object fields { { "version", after.catalogue->version } };
        writeLog(LogLevel::Info, "config_in_force", fields);
    }
    const TimePoint now = RuntimeClock::now();
    if (before.permits(now) && !after.permits(now))
        writeLog(LogLevel::Warning, "new_work_suspended");
}

json::value ControlPlane::dump() const
{
    const TimePoint now = RuntimeClock::now();
    const std::shared_ptr<const ControlView> current = view();
    json::object value { { "host", m_options.host.value() },
        { "incarnation", m_membership.self().incarnation }, { "epoch", current->epoch },
        { "acknowledged_epoch", current->acknowledgedEpoch },
        { "is_writer", m_membership.isWriter() }, { "is_member", m_membership.isMember() },
        { "stopping", m_isStopping },
        { "permission_ms", millisecondsBetween(now, current->permittedUntil) },
        { "config_revision", m_config.store().revision() },
        { "catalogue_version", current->catalogue->version } };
    value["cell"] = cellStateToJson(m_membership.state());
    json::object invalid;
    for (const auto& [key, object] : m_config.store().invalidObjects())
        invalid[key] = object.error;
    value["invalid"] = std::move(invalid);
    json::object peers;
    for (const Member& peer : m_membership.listPeers()) {
        const PeerContact* contact = m_membership.contacts().find(peer);
        if (contact)
            peers[peer.host.value()] = millisecondsBetween(contact->askedAt, now);
    }
    value["heard_ms_ago"] = std::move(peers);
    return value;
}

}
