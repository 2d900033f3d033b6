#include "dispatch/claimservice.h"

#include "dispatch/memberorder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A claim object is deleted this long after the last of its keys has expired, so that no clock
    // of another host can still take one of them for usable.
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
    const std::string partition = "claims/" + std::to_string(claimPartition(action.key));
    const std::vector<Member> order = liveMembersFor(*view, partition);
    ClaimResponse answer { .retryAfter = m_options.unavailableTime };
    if (order.empty() || order.front().host == view->self) {
        answer = co_await claimHere(std::move(action), budget);
    } else {
        const PeerEndpoint endpoint { .address = order.front().address,
            .port = order.front().port };
        try {
            Message question = ClaimMessage { .claim = action, .budget = budget };
            const Message message
                = co_await m_peers.call(endpoint, std::move(question), budget);
            if (const auto* claimed = std::get_if<ClaimResponseMessage>(&message))
                answer = claimed->response;
        } catch (const std::runtime_error&) {
            // The claim may stand, but nothing was sent on the strength of it.
        }
    }
    if (answer.result == ClaimResult::Unavailable)
        m_unavailableUntil = RuntimeClock::now() + m_options.unavailableTime;
    co_return answer;
}

Asio::awaitable<ClaimResponse> ClaimService::claimHere(ClaimAction action, Milliseconds budget)
{
    const std::optional<WallTime> made = timeOfKey(action.key);
    if (!made || ageOfKey(action.key, wallNow()) != KeyAge::Usable)
        co_return ClaimResponse { .result = ClaimResult::Expired };
    ++m_claims;
    const TimePoint deadline = RuntimeClock::now() + budget;
    const std::string objectKey = claimObjectKey(action.key, *made);
    const std::shared_ptr<Partition> partition = partitionOf(objectKey);
    const std::pair<std::string, std::string> id { action.claimKey, action.token };
    partition->answers.erase(id);
    partition->batch.add(action.claimKey, action.token);
    if (!partition->isWriting)
        Asio::co_spawn(m_context, write(objectKey, partition), Asio::detached);
    while (true) {
        const auto answer = partition->answers.find(id);
        if (answer != partition->answers.end())
            co_return answer->second;
        if (RuntimeClock::now() >= deadline)
            co_return ClaimResponse { .retryAfter = m_options.unavailableTime };
        co_await partition->changed.wait();
    }
}

Asio::awaitable<void> ClaimService::write(
    std::string objectKey, std::shared_ptr<Partition> partition)
{
    partition->isWriting = true;
    while (std::optional<ClaimStep> step = partition->batch.next()) {
        co_await perform(objectKey, partition->batch, std::move(*step));
        partition->answers.clear();
        for (SettledClaim& settled : partition->batch.drainSettled())
            partition->answers[{ settled.claimKey, settled.token }] = settled.answer;
        partition->changed.notifyAll();
        co_await sleepFor(m_context.get_executor(), m_options.writeInterval);
    }
    partition->isWriting = false;
}

Asio::awaitable<void> ClaimService::perform(
    const std::string& objectKey, ClaimBatch& batch, ClaimStep step)
{
    try {
        const auto* put = std::get_if<WriteClaims>(&step);
        if (!put) {
            batch.onRead(co_await m_store.read(objectKey));
            co_return;
        }
        ++m_writes;
        const ClaimPutResult result = co_await m_store.compareAndPut(objectKey, put->object);
        if (const auto* accepted = std::get_if<ClaimPutAccepted>(&result))
            batch.onWriteAccepted(accepted->version);
        else if (const auto* conflict = std::get_if<ClaimPutConflict>(&result))
            batch.onWriteConflict(conflict->standing);
        else
            batch.onWriteOutcomeUnknown();
    } catch (const ClaimStoreUnavailable& error) {
        m_unavailableUntil = RuntimeClock::now() + m_options.unavailableTime;
        batch.onUnavailable(std::max(error.retryAfter(), m_options.unavailableTime));
    }
}

std::shared_ptr<ClaimService::Partition> ClaimService::partitionOf(const std::string& objectKey)
{
    std::shared_ptr<Partition>& partition = m_partitions[objectKey];
    if (!partition)
        partition = std::make_shared<Partition>(m_context);
    return partition;
}

Asio::awaitable<void> ClaimService::serve(
    std::shared_ptr<PeerStream> stream, ClaimMessage message)
{
    const ClaimResponse answer = co_await claimHere(std::move(message.claim), message.budget);
    Message claimed = ClaimResponseMessage { .response = answer };
    co_await stream->write(std::move(claimed));
    stream->finish();
}

Asio::awaitable<void> ClaimService::removeExpired()
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    const WallTime past = wallNow() - keyLifetime - removalMargin;
    std::erase_if(
        m_partitions, [](const auto& entry) { return entry.second->batch.isIdle()
                                                  && !entry.second->isWriting && entry.second.use_count() == 1; });
    for (unsigned partition = 0; partition < claimPartitions; ++partition) {
        const std::vector<Member> order
            = liveMembersFor(*view, "claims/" + std::to_string(partition));
        if (!order.empty() && order.front().host == view->self)
            co_await m_store.remove(claimObjectKey(partition, past));
    }
}

boost::json::value ClaimService::dump() const
{
    return boost::json::object { { "claims", m_claims }, { "writes", m_writes },
        { "objects", m_partitions.size() }, { "unavailable", isUnavailable() } };
}

}
