#include "dispatch/recordservice.h"

#include "dispatch/memberorder.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts after the home that a copy may stand on; see RecordCoverage.
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
    std::vector<Member> members = liveMembersFor(*view, action.copy.key.value());
    std::erase_if(members, [&view](const Member& member) { return member.host == view->self; });
    if (members.empty())
        co_return std::vector<CopyResponse> { CopyResponse {} };
    if (members.size() > followerCandidates)
        members.resize(followerCandidates);
    std::vector<CopyResponse> answers;
    for (const Member& member : members) {
        const PeerEndpoint endpoint { .address = member.address, .port = member.port };
        std::optional<CopyResponse> answer = co_await storeAt(endpoint, action);
        if (answer)
            answers.push_back(std::move(*answer));
        const bool isKnown = !action.opening
            || m_records.isKnown(action.copy.key, answers, RuntimeClock::now());
        if (!answers.empty() && isKnown)
            break;
    }
    co_return answers;
}

Asio::awaitable<std::optional<CopyResponse>> RecordService::storeAt(
    PeerEndpoint endpoint, const StoreCopyAction& action)
{
    try {
        Message question = StoreCopyMessage { .copy = action.copy, .opening = action.opening };
        const Message answer
            = co_await m_peers.call(std::move(endpoint), std::move(question), storeTimeout);
        if (const auto* stored = std::get_if<CopyResponseMessage>(&answer))
            co_return stored->response;
    } catch (const std::runtime_error&) {
        // The next host in order is asked instead.
    }
    co_return std::nullopt;
}

Asio::awaitable<void> RecordService::serve(
    std::shared_ptr<PeerStream> stream, StoreCopyMessage message)
{
    Message answer = CopyResponseMessage {
        .response = m_records.store(message.copy, message.opening, RuntimeClock::now())
    };
    co_await stream->write(std::move(answer));
    stream->finish();
}

}
