#include "gateway/streamoriginsync.h"

#include "libnet/log.h"
#include "libserving/streamholders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds peerTimeout { 200 };
    // Number of hosts that are asked for one origin, two at a time.
    constexpr std::size_t maxAskedHosts = 4;
    // Further notices are dropped while peers are slow.
    constexpr std::size_t maxNoticesInFlight = 256;

}

StreamOriginSync::StreamOriginSync(Asio::io_context& context, const ServingView& view, PeerClient& peers,
    HostId self, MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_metrics(metrics)
{
}

StreamKey StreamOriginSync::keyOf(const ServedRequest& request)
{
    const CallerRequest& caller = request.caller;
    const std::string& id = caller.lastEventId.empty() ? caller.id : caller.resumedRequestId;
    return { request.owner, isRecordableRequestId(id) ? id : std::string() };
}

void StreamOriginSync::recordBegin(const ServedRequest& request, const SoftwareVersion& version)
{
    const TimePoint now = RuntimeClock::now();
    const Milliseconds resumptionTime = request.config->resumptionTime(request.pool);
    const StreamNotice notice { .key = keyOf(request),
        .origin = { request.pool, version },
        .timeToLive = std::max(resumptionTime, request.timeLeft(now)) };
    if (notice.key.requestId.empty())
        return;
    m_origins.put(notice.key, notice.origin, now + notice.timeToLive, now);
    if (knowledgeOf({ notice.key, request.pool, resumptionTime }).soleVersion)
        return;
    const std::vector<HostId> holders = rankStreamHolders(notice.key.requestId, m_view.hosts());
    const std::string text = toJson(notice);
    for (std::size_t index = 0; index < std::min(holders.size(), streamHolderCount); ++index) {
        if (holders[index] == m_self || m_noticesInFlight >= maxNoticesInFlight)
            continue;
        ++m_noticesInFlight;
        Asio::co_spawn(
            m_context, sendNotice(m_view.hosts().at(holders[index]).endpoint, text), Asio::detached);
    }
}

Asio::awaitable<void> StreamOriginSync::sendNotice(Endpoint peer, std::string notice)
{
    bool isSent = false;
    try {
        Message message = TextMessage { noticeTopic, std::move(notice) };
        co_await m_peers.notify(std::move(peer), std::move(message), peerTimeout);
        isSent = true;
    } catch (const std::exception&) {
        // The other holder may have got it. A caller that resumes the stream is refused otherwise.
    }
    --m_noticesInFlight;
    m_metrics
        .counter("apricot_stream_notices_total", "Origins of streams that were sent to other hosts.",
            { { "outcome", isSent ? "sent" : "failed" } })
        .add();
}

void StreamOriginSync::applyNotice(const std::string& text)
{
    const StreamNotice notice = readStreamNotice(text);
    const TimePoint now = RuntimeClock::now();
    m_origins.put(notice.key, notice.origin, now + notice.timeToLive, now);
}

OriginKnowledge StreamOriginSync::knowledgeOf(const OriginQuestion& question) const
{
    const TimePoint now = RuntimeClock::now();
    const SeenVersions seen
        = m_view.servers().versions().seenWithin(question.pool, question.resumptionTime, now);
    OriginKnowledge knowledge { .recorded = m_origins.find(question.key, now),
        .hasSeveralVersions = seen.versions.size() > 1 };
    const bool isRoutingStable = m_view.routingChangedAt() + question.resumptionTime <= now;
    if (isRoutingStable && seen.isComplete && seen.versions.size() == 1 && !seen.versions.begin()->empty())
        knowledge.soleVersion = *seen.versions.begin();
    return knowledge;
}

std::string StreamOriginSync::respondTo(const std::string& text) const
{
    return toJson(knowledgeOf(readOriginQuestion(text)));
}

Asio::awaitable<std::optional<StreamOrigin>> StreamOriginSync::find(const ServedRequest& request)
{
    const OriginQuestion question { keyOf(request), request.pool,
        request.config->resumptionTime(request.pool) };
    const OriginKnowledge own = knowledgeOf(question);
    std::vector<OriginKnowledge> peers;
    if (!own.recorded)
        peers = co_await askHolders(question);
    // Until this host is listed itself, the others are not known.
    const bool hasOtherHosts = m_view.hosts().size() != 1 || !m_view.hosts().contains(m_self);
    const std::optional<StreamOrigin> origin = findOrigin(question.pool, own, peers, hasOtherHosts);
    logFound(request, origin, own, peers.size());
    co_return origin;
}

Asio::awaitable<std::vector<OriginKnowledge>> StreamOriginSync::askHolders(OriginQuestion question)
{
    std::vector<HostId> holders = rankStreamHolders(question.key.requestId, m_view.hosts());
    std::erase(holders, m_self);
    const std::string text = toJson(question);
    auto answers = std::make_shared<Answers>();
    auto answered = std::make_shared<AsyncEvent>(m_context.get_executor());
    const std::size_t last = std::min(holders.size(), maxAskedHosts);
    for (std::size_t next = 0; next < last && answers->peers.empty();) {
        const std::size_t end = std::min(next + streamHolderCount, last);
        for (; next < end; ++next) {
            const auto host = m_view.hosts().find(holders[next]);
            if (host == m_view.hosts().end())
                continue;
            ++answers->pending;
            Asio::co_spawn(
                m_context, askPeer(host->second.endpoint, text, answers, answered), Asio::detached);
        }
        const auto isRecorded
            = [](const OriginKnowledge& knowledge) { return knowledge.recorded.has_value(); };
        while (answers->pending > 0
            && std::none_of(answers->peers.begin(), answers->peers.end(), isRecorded))
            co_await answered->wait();
    }
    co_return answers->peers;
}

Asio::awaitable<void> StreamOriginSync::askPeer(Endpoint peer, std::string question,
    std::shared_ptr<Answers> answers, std::shared_ptr<AsyncEvent> answered)
{
    const std::string name = toText(peer);
    std::string failure;
    try {
        Message message = TextMessage { questionTopic, std::move(question) };
        const Message response
            = co_await m_peers.call(std::move(peer), std::move(message), peerTimeout);
        answers->peers.push_back(readOriginKnowledge(std::get<TextMessage>(response).json));
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (!failure.empty())
        writeLog(LogLevel::Info, "stream_holder_silent", { { "peer", name }, { "reason", failure } });
    --answers->pending;
    answered->notifyAll();
}

void StreamOriginSync::logFound(const ServedRequest& request, const std::optional<StreamOrigin>& origin,
    const OriginKnowledge& own, std::size_t responses)
{
    const std::string_view source = !origin ? "unknown"
        : own.recorded                      ? "this_host"
        : responses > 0                     ? "peers"
                                            : "sole_version";
    writeLog(LogLevel::Info, "stream_origin_found",
        { { "request", request.caller.id }, { "resumes", request.caller.resumedRequestId },
            { "pool", origin ? origin->pool.value() : request.pool.value() },
            { "server_version", origin ? origin->version.value() : "" }, { "source", source },
            { "responses", responses }, { "several_versions", own.hasSeveralVersions } });
    m_metrics
        .counter("apricot_stream_resumptions_total",
            "Streams that callers resumed, by the source of their origin.",
            { { "origin", std::string(source) } })
        .add();
}

}
