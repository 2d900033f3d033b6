#include "dispatch/recordservice.h"

#include "dispatch/memberorder.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts ranked after the home that may hold a copy; see RecordCoverage.
    constexpr std::size_t followerCandidates = 2;
    constexpr Milliseconds storeTimeout { 400 };

}

RecordService::RecordService(
    const ControlViewSource& views, PeerLink& peers, RecordTable& records)
    : m_views(views)
    , m_peers(peers)
    , m_records(records)
{
}

Asio::awaitable<std::vector<CopyResponse>> RecordService::replicate(StoreCopyAction action)
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    std::vector<Member> followers = rankLiveMembers(*view, action.copy.key.value());
    std::erase_if(followers, [&view](const Member& member) { return member.host == view->self; });
    if (followers.empty())
        co_return std::vector<CopyResponse> { CopyResponse {} };
    if (followers.size() > followerCandidates)
        followers.resize(followerCandidates);
    std::vector<CopyResponse> responses;
    for (const Member& member : followers) {
        const PeerEndpoint endpoint { .address = member.address, .port = member.port };
        std::optional<CopyResponse> response = co_await storeAt(endpoint, action);
        if (response)
            responses.push_back(std::move(*response));
        const bool isKeyKnown = !action.opening
            || m_records.hasAllRecords(action.copy.key, responses, RuntimeClock::now());
        if (!responses.empty() && isKeyKnown)
            break;
    }
    co_return responses;
}

Asio::awaitable<std::optional<CopyResponse>> RecordService::storeAt(
    PeerEndpoint endpoint, const StoreCopyAction& action)
{
    try {
        Message request = StoreCopyMessage { .copy = action.copy, .opening = action.opening };
        const Message response
            = co_await m_peers.call(std::move(endpoint), std::move(request), storeTimeout);
        if (const auto* stored = std::get_if<CopyResponseMessage>(&response))
            co_return stored->response;
    } catch (const std::runtime_error&) {
        // The copy is sent to the host with the next rank instead.
    }
    co_return std::nullopt;
}

Asio::awaitable<void> RecordService::serve(
    std::shared_ptr<PeerStream> stream, StoreCopyMessage message)
{
    Message response = CopyResponseMessage {
        .response = m_records.store(message.copy, message.opening, RuntimeClock::now())
    };
    co_await stream->write(std::move(response));
    stream->finish();
}

}
