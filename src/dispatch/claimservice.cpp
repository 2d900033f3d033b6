#include "dispatch/claimservice.h"

#include "dispatch/memberorder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A claim object is deleted this long after the last of its keys has expired, so that no host
    // whose clock lags still accepts one of them as usable.
    constexpr std::chrono::hours removalMargin { 2 };

    WallTime wallNow()
    {
        return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now());
    }

}

ClaimService::ClaimService(Asio::io_context& context, const ControlViewSource& views,
    PeerLink& peers, ClaimStore& store, ClaimServiceOptions options)
    : m_context(context)
    , m_views(views)
    , m_peers(peers)
    , m_store(store)
    , m_options(options)
{
}

bool ClaimService::isUnavailable() const
{
    return RuntimeClock::now() < m_unavailableUntil;
}

Asio::awaitable<ClaimResponse> ClaimService::claim(ClaimAction action, Milliseconds budget)
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    const std::string partitionKey = "claims/" + std::to_string(claimPartition(action.key));
    const std::vector<Member> ranked = rankLiveMembers(*view, partitionKey);
    ClaimResponse response { .retryAfter = m_options.unavailableDuration };
    if (ranked.empty() || ranked.front().host == view->self) {
        response = co_await claimLocally(std::move(action), budget);
    } else {
        const PeerEndpoint endpoint { .address = ranked.front().address,
            .port = ranked.front().port };
        try {
            Message request = ClaimMessage { .claim = action, .budget = budget };
            const Message message
                = co_await m_peers.call(endpoint, std::move(request), budget);
            if (const auto* received = std::get_if<ClaimResponseMessage>(&message))
                response = received->response;
        } catch (const std::runtime_error&) {
            // The claim may have been stored, but no attempt was sent because of it.
        }
    }
    if (response.result == ClaimResult::Unavailable)
        m_unavailableUntil = RuntimeClock::now() + m_options.unavailableDuration;
    co_return response;
}

Asio::awaitable<ClaimResponse> ClaimService::claimLocally(ClaimAction action, Milliseconds budget)
{
    const std::optional<WallTime> keyCreatedAt = timeOfKey(action.key);
    if (!keyCreatedAt || validityOfKey(action.key, wallNow()) != KeyValidity::Usable)
        co_return ClaimResponse { .result = ClaimResult::Expired };
    ++m_claims;
    const TimePoint deadline = RuntimeClock::now() + budget;
    const std::string objectKey = claimObjectKey(action.key, *keyCreatedAt);
    const std::shared_ptr<ObjectState> object = findOrCreateObject(objectKey);
    const std::pair<std::string, std::string> id { action.claimKey, action.token };
    object->responses.erase(id);
    object->batch.add(action.claimKey, action.token);
    if (!object->isWriting)
        Asio::co_spawn(m_context, writeBatches(objectKey, object), Asio::detached);
    while (true) {
        const auto response = object->responses.find(id);
        if (response != object->responses.end())
            co_return response->second;
        if (RuntimeClock::now() >= deadline)
            co_return ClaimResponse { .retryAfter = m_options.unavailableDuration };
        co_await object->changed.wait();
    }
}

Asio::awaitable<void> ClaimService::writeBatches(
    std::string objectKey, std::shared_ptr<ObjectState> object)
{
    object->isWriting = true;
    while (std::optional<ClaimStep> step = object->batch.next()) {
        co_await performStep(objectKey, object->batch, std::move(*step));
        object->responses.clear();
        for (SettledClaim& settled : object->batch.drainSettled())
            object->responses[{ settled.claimKey, settled.token }] = settled.response;
        object->changed.notifyAll();
        co_await sleepFor(m_context.get_executor(), m_options.writeInterval);
    }
    object->isWriting = false;
}

Asio::awaitable<void> ClaimService::performStep(
    const std::string& objectKey, ClaimBatch& batch, ClaimStep step)
{
    try {
        const auto* write = std::get_if<WriteClaims>(&step);
        if (!write) {
            batch.onRead(co_await m_store.read(objectKey));
            co_return;
        }
        ++m_writes;
        const ClaimWriteResult result = co_await m_store.compareAndPut(objectKey, write->object);
        if (const auto* accepted = std::get_if<ClaimWriteAccepted>(&result))
            batch.onWriteAccepted(accepted->version);
        else if (const auto* conflict = std::get_if<ClaimWriteConflict>(&result))
            batch.onWriteConflict(conflict->current);
        else
            batch.onWriteOutcomeUnknown();
    } catch (const ClaimStoreUnavailable& error) {
        m_unavailableUntil = RuntimeClock::now() + m_options.unavailableDuration;
        batch.onUnavailable(std::max(error.retryAfter(), m_options.unavailableDuration));
    }
}

std::shared_ptr<ClaimService::ObjectState> ClaimService::findOrCreateObject(
    const std::string& objectKey)
{
    std::shared_ptr<ObjectState>& object = m_objects[objectKey];
    if (!object)
        object = std::make_shared<ObjectState>(m_context);
    return object;
}

Asio::awaitable<void> ClaimService::serve(
    std::shared_ptr<PeerStream> stream, ClaimMessage message)
{
    const ClaimResponse response = co_await claimLocally(std::move(message.claim), message.budget);
    Message reply = ClaimResponseMessage { .response = response };
    co_await stream->write(std::move(reply));
    stream->finish();
}

Asio::awaitable<void> ClaimService::removeExpired()
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    const WallTime keysCreatedAt = wallNow() - keyLifetime - removalMargin;
    std::erase_if(
        m_objects, [](const auto& entry) { return entry.second->batch.isIdle()
                                               && !entry.second->isWriting && entry.second.use_count() == 1; });
    for (unsigned partition = 0; partition < claimPartitions; ++partition) {
        const std::vector<Member> ranked
            = rankLiveMembers(*view, "claims/" + std::to_string(partition));
        if (!ranked.empty() && ranked.front().host == view->self)
            co_await m_store.remove(claimObjectKey(partition, keysCreatedAt));
    }
}

boost::json::value ClaimService::dump() const
{
    return boost::json::object { { "claims", m_claims }, { "writes", m_writes },
        { "objects", m_objects.size() }, { "unavailable", isUnavailable() } };
}

}
