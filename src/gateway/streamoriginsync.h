#pragma once

#include "gateway/requestscope.h"
#include "libapricot/metrics.h"
#include "libnet/asyncevent.h"
#include "libnet/peerstream.h"
#include "libserving/servingview.h"
#include "libserving/streamoriginjson.h"
#include "libserving/streamorigintable.h"

namespace Apricot {

// Remembers which software version began each stream that callers may resume, and shares this with two other
// hosts for each stream while the pool has, or may have had, several versions. A pool with a single version needs
// no messages until a caller resumes a stream.
class StreamOriginSync {
public:
    // Topics of the messages between peers.
    static constexpr const char* noticeTopic = "stream_begun";
    static constexpr const char* questionTopic = "stream_origin";

    StreamOriginSync(boost::asio::io_context& context, const ServingView& view, PeerClient& peers, HostId self,
        MetricRegistry& metrics);

    // Records that a server begins the stream of a request, or goes on with it.
    void recordBegin(const ServedRequest& request, const SoftwareVersion& version);
    // Finds the origin of the stream that a request resumes, or nothing if it is not certain.
    boost::asio::awaitable<std::optional<StreamOrigin>> find(const ServedRequest& request);

    // Applies a peer's notice.
    void applyNotice(const std::string& text);
    // Response to a peer's question.
    std::string respondTo(const std::string& text) const;

    std::size_t size() const { return m_origins.size(); }

private:
    // Responses to one question.
    struct Answers {
        std::vector<OriginKnowledge> peers;
        std::size_t pending = 0;
    };

    static StreamKey keyOf(const ServedRequest& request);
    OriginKnowledge knowledgeOf(const OriginQuestion& question) const;
    // Asks the hosts that hold an origin; if none responds, the next ones.
    boost::asio::awaitable<std::vector<OriginKnowledge>> askHolders(OriginQuestion question);
    boost::asio::awaitable<void> askPeer(Endpoint peer, std::string question,
        std::shared_ptr<Answers> answers, std::shared_ptr<AsyncEvent> answered);
    boost::asio::awaitable<void> sendNotice(Endpoint peer, std::string notice);
    void logFound(const ServedRequest& request, const std::optional<StreamOrigin>& origin,
        const OriginKnowledge& own, std::size_t responses);

    boost::asio::io_context& m_context;
    const ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    MetricRegistry& m_metrics;
    StreamOriginTable m_origins;
    std::size_t m_noticesInFlight = 0;
};

}
