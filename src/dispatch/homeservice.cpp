#include "homeservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    // Greater than every version that the platform assigns.
    constexpr ObjectVersion afterAllVersions = ~ObjectVersion(0);
    constexpr Milliseconds unknownServerRetryAfter { 1000 };

    boost::json::object namedArray(const char* name, boost::json::array array)
    {
        return { { name, std::move(array) } };
    }

}

HomeService::HomeService(boost::asio::io_context& context, const ControlViewSource& views,
    HomeServiceOptions options)
    : m_context(context)
    , m_views(views)
    , m_options(options)
    , m_peers(context)
{
}

HomeService::~HomeService()
{
    m_isRunning = false;
}

void HomeService::start()
{
    boost::asio::co_spawn(m_context, followViews(), boost::asio::detached);
}

boost::asio::awaitable<void> HomeService::serve(
    std::shared_ptr<PeerStream> stream, StageCallMessage message)
{
    refresh();
    const std::shared_ptr<ReplicaHome> home = findOrCreateHome(message.call.server);
    if (home && !m_isStopped)
        co_return co_await home->serve(std::move(stream), std::move(message.call));
    StageOutcome outcome { .attempt = message.call.attempt,
        .end = StageEndReason::Rejected,
        .retryAfter = unknownServerRetryAfter };
    Message ended = StageEndedMessage { std::move(outcome) };
    co_await stream->write(std::move(ended));
    stream->finish();
}

boost::asio::awaitable<void> HomeService::serveRelease(
    std::shared_ptr<PeerStream> stream, ReleaseHomeMessage message)
{
    HomeReleasedMessage response { .incarnation = m_views.view()->incarnation };
    if (const std::shared_ptr<ReplicaHome> home = findOrCreateHome(message.server))
        response = home->release(message.since);
    else
        m_releasedBefore[message.server]
            = std::max(m_releasedBefore[message.server], message.since);
    Message released = std::move(response);
    co_await stream->write(std::move(released));
    stream->finish();
}

boost::asio::awaitable<OrderResult> HomeService::sendOrder(
    BackendServerId server, std::string text)
{
    const std::shared_ptr<ReplicaHome> home = findOrCreateHome(server);
    if (!home)
        co_return OrderResult::NotPermitted;
    co_return co_await home->sendOrder(std::move(text));
}

boost::asio::awaitable<void> HomeService::drain()
{
    const TimePoint handoverDeadline = RuntimeClock::now() + m_options.handoverTimeout;
    while (isHomeOfAny() && RuntimeClock::now() < handoverDeadline)
        co_await sleep(m_options.refreshInterval);
    releaseAll();
    while (inFlight() > 0)
        co_await sleep(m_options.refreshInterval);
}

std::vector<BackendServerId> HomeService::busyServers() const
{
    std::vector<BackendServerId> busy;
    for (const auto& [server, home] : m_homes) {
        if (home->ledger().inFlight() > 0)
            busy.push_back(server);
    }
    return busy;
}

boost::json::value HomeService::dump() const
{
    boost::json::array replicas;
    for (const auto& [server, home] : m_homes)
        replicas.push_back(home->dump());
    return namedArray("replicas", std::move(replicas));
}

boost::asio::awaitable<void> HomeService::followViews()
{
    while (m_isRunning) {
        refresh();
        co_await sleep(m_options.refreshInterval);
    }
}

boost::asio::awaitable<void> HomeService::pollHealth(std::shared_ptr<ReplicaHome> home)
{
    while (m_isRunning) {
        if (home->ledger().since() > 0 || home->ledger().inFlight() > 0)
            co_await home->pollHealth();
        co_await sleep(m_options.healthInterval);
    }
}

boost::asio::awaitable<void> HomeService::takeOver(std::shared_ptr<ReplicaHome> home)
{
    while (m_isRunning) {
        std::vector<Predecessor> predecessors;
        if (home->ledger().takeover())
            predecessors = home->ledger().takeover()->unconfirmed();
        for (const Predecessor& predecessor : predecessors)
            co_await requestRelease(*home, predecessor);
        co_await sleep(m_options.releaseInterval);
    }
}

boost::asio::awaitable<void> HomeService::requestRelease(
    ReplicaHome& home, Predecessor predecessor)
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    const Member* member = view->cell ? view->cell->findMember(predecessor.host) : nullptr;
    if (member && member->incarnation != predecessor.incarnation)
        co_return home.onPredecessorGone(predecessor);
    const auto found = m_endpoints.find(predecessor);
    const ObjectVersion since = home.ledger().since();
    if (found == m_endpoints.end() || since == 0)
        co_return;
    try {
        Message request = ReleaseHomeMessage { .server = home.server().id, .since = since };
        const Message response = co_await m_peers.call(
            found->second, std::move(request), m_options.releaseTimeout);
        const auto* released = std::get_if<HomeReleasedMessage>(&response);
        if (released && home.ledger().since() == since)
            home.onPredecessorReleased(predecessor, *released);
    } catch (const PeerError& error) {
        if (error.failure() == PeerFailure::Refused)
            home.onPredecessorGone(predecessor);
    } catch (const std::exception&) {
        // A missing response says nothing about the predecessor; the request is repeated.
        co_return;
    }
}

boost::asio::awaitable<void> HomeService::sleep(Milliseconds time)
{
    Timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void HomeService::refresh()
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    if (!view || !view->cell || !view->catalogue)
        return;
    if (view->epoch != m_appliedEpoch)
        recordEndpoints(*view->cell);
    for (const auto& [server, assignment] : view->cell->homes) {
        if (ownAssignment(*view, server))
            findOrCreateHome(server);
    }
    for (const auto& [server, home] : m_homes)
        home->refresh();
    m_appliedEpoch = view->epoch;
}

void HomeService::recordEndpoints(const CellState& cell)
{
    for (const Member& member : cell.members) {
        m_endpoints[{ .host = member.host, .incarnation = member.incarnation }]
            = { .address = member.address, .port = member.port };
    }
}

std::shared_ptr<ReplicaHome> HomeService::findOrCreateHome(const BackendServerId& server)
{
    const auto found = m_homes.find(server);
    if (found != m_homes.end())
        return found->second;
    const std::shared_ptr<const ControlView> view = m_views.view();
    if (!view->catalogue)
        return nullptr;
    const auto declared = view->catalogue->servers.find(server);
    if (declared == view->catalogue->servers.end())
        return nullptr;
    auto home = std::make_shared<ReplicaHome>(m_context, m_views,
        ReplicaHomeOptions { .server = declared->second,
            .queueLimit = m_options.queueLimit,
            .takeover = m_options.takeover,
            .healthTimeout = m_options.healthTimeout });
    const auto released = m_releasedBefore.find(server);
    if (released != m_releasedBefore.end())
        home->release(released->second);
    m_homes.emplace(server, home);
    home->refresh();
    boost::asio::co_spawn(m_context, pollHealth(home), boost::asio::detached);
    boost::asio::co_spawn(m_context, takeOver(home), boost::asio::detached);
    return home;
}

void HomeService::releaseAll()
{
    m_isStopped = true;
    for (const auto& [server, home] : m_homes)
        home->release(afterAllVersions);
}

bool HomeService::isHomeOfAny() const
{
    return std::any_of(m_homes.begin(), m_homes.end(),
        [](const auto& entry) { return entry.second->ledger().since() > 0; });
}

int HomeService::inFlight() const
{
    int sum = 0;
    for (const auto& [server, home] : m_homes)
        sum += home->ledger().inFlight();
    return sum;
}

}
