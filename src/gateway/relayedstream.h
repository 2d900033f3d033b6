#pragma once

#include "libnet/httpclient.h"
#include "libnet/peerstream.h"

namespace Apricot {

// Bytes of a response that a relaying peer may send before the receiver has read them, and the number of read bytes
// after which the receiver says so.
constexpr std::uint64_t relayWindowBytes = 524'288;
constexpr std::uint64_t relayConsumedBytes = 131'072;

// Name for logs and metrics.
const char* relayEndName(RelayEnd end);
// Throws the error of a call that a peer sent and that did not end regularly.
[[noreturn]] void throwRelayError(RelayEnd end);

// A response that a peer relays.
class RelayedStream : public HttpStream {
public:
    // The last argument is destroyed with the stream.
    RelayedStream(boost::asio::io_context& context, std::shared_ptr<PeerStream> stream,
        RelayHeadMessage head, std::shared_ptr<HttpCancel> cancel, Milliseconds timeout,
        std::shared_ptr<void> inFlight);
    ~RelayedStream() override;

    RelayedStream(const RelayedStream&) = delete;
    RelayedStream& operator=(const RelayedStream&) = delete;

    const HttpResponseHead& head() const override { return m_head; }
    BodyFraming framing() const override { return m_framing; }
    void setTimeout(Milliseconds timeout) override { m_timeout = timeout; }
    void setTotalTimeout(Milliseconds timeout) override;
    boost::asio::awaitable<std::optional<std::string>> read() override;
    // The peer decides about its connection.
    void holdConnection() override { }
    void releaseConnection() override { }

private:
    boost::asio::awaitable<std::optional<Message>> readMessage();

    boost::asio::io_context& m_context;
    std::shared_ptr<PeerStream> m_stream;
    HttpResponseHead m_head;
    BodyFraming m_framing;
    std::shared_ptr<HttpCancel> m_cancel;
    Milliseconds m_timeout;
    std::optional<TimePoint> m_endsAt;
    std::shared_ptr<void> m_inFlight;
    std::uint64_t m_unreportedBytes = 0;
    bool m_isComplete = false;
};

}
