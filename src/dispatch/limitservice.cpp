#include "limitservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace asio = boost::asio;

LimitService::LimitService(
    asio::io_context& context, const ControlViewSource& views, LimitServiceOptions options)
    : m_context(context)
    , m_views(views)
    , m_options(options)
    , m_limiter(options.shares)
    , m_ledger(options.shares)
    , m_peers(context)
    , m_timer(context)
{
}

void LimitService::start()
{
    m_isRunning = true;
    asio::co_spawn(m_context, refresh(), asio::detached);
}

void LimitService::stop()
{
    m_isRunning = false;
    m_timer.cancel();
}

std::optional<Refusal> LimitService::admit(
    const OwnerId& owner, const OwnerLimits& limits, int expectedTokens, TimePoint now)
{
    const bool isNew = !m_limiter.contains(owner);
    auto refusal = m_limiter.admit(owner, limits, expectedTokens, now);
    // Wakes refresh(), so that the first request of an owner doesn't wait for the next round to get a
    // share.
    if (isNew && m_isRunning && limits != OwnerLimits {})
        m_timer.cancel();
    return refusal;
}

void LimitService::onRequestFinished(const OwnerId& owner, int tokens, TimePoint now)
{
    m_limiter.onRequestFinished(owner, tokens, now);
}

asio::awaitable<void> LimitService::serve(
    std::shared_ptr<PeerStream> stream, ShareRequestMessage message)
{
    const auto view = m_views.view();
    Message response
        = ShareResponseMessage { m_ledger.respondTo(message.request, *view, RuntimeClock::now()) };
    co_await stream->write(std::move(response));
    stream->finish();
}

boost::json::value LimitService::dump(TimePoint now) const
{
    boost::json::array owners;
    for (const OwnerId& owner : m_limiter.ownerIds()) {
        const OwnerShare share = m_limiter.currentShare(owner, now);
        owners.push_back(boost::json::object { { "owner", owner.value() },
            { "in_flight", m_limiter.requestsInFlight(owner) },
            { "share_requests_per_second", share.requestsPerSecond },
            { "share_requests_in_flight", share.requestsInFlight },
            { "share_tokens_per_second", share.tokensPerSecond } });
    }
    return boost::json::object { { "owners", std::move(owners) },
        { "owners_granted", m_ledger.ownerCount() } };
}

asio::awaitable<void> LimitService::refresh()
{
    while (m_isRunning) {
        const auto view = m_views.view();
        const TimePoint now = RuntimeClock::now();
        if (view && view->cell) {
            m_ledger.observe(*view, now);
            requestShares(*view, now);
        }
        m_timer.expires_after(m_options.refreshInterval);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void LimitService::requestShares(const ControlView& view, TimePoint now)
{
    for (auto& [home, request] : m_limiter.shareRequests(view, now)) {
        if (home == view.self) {
            m_limiter.applyResponse(m_ledger.respondTo(request, view, now), now);
            continue;
        }
        const Member* member = view.cell->findMember(home);
        if (member == nullptr || !m_pendingHomes.insert(home).second)
            continue;
        asio::co_spawn(m_context,
            requestShare({ .address = member->address, .port = member->port }, std::move(request)),
            [this, host = home](const std::exception_ptr&) { m_pendingHomes.erase(host); });
    }
}

asio::awaitable<void> LimitService::requestShare(PeerEndpoint home, ShareRequest request)
{
    // Named, because g++ 12 destroys an aggregate temporary of a co_await expression twice.
    Message message = ShareRequestMessage { std::move(request) };
    const Message response
        = co_await m_peers.call(std::move(home), std::move(message), m_options.responseTimeout);
    if (const auto* shares = std::get_if<ShareResponseMessage>(&response))
        m_limiter.applyResponse(shares->response, RuntimeClock::now());
}

}
