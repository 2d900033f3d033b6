#include "libnet/http2peerstream.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr std::size_t sendBufferLimitBytes = 262144;

}

Http2PeerStream::Http2PeerStream(std::shared_ptr<Http2Connection> connection, std::int32_t id,
    std::shared_ptr<Http2Stream> stream)
    : m_connection(std::move(connection))
    , m_id(id)
    , m_stream(std::move(stream))
{
}

Http2PeerStream::~Http2PeerStream()
{
    // A server's stream is complete once it has finished; queued data is still sent.
    const bool isComplete = m_stream->localFinished
        && (m_stream->remoteFinished || m_connection->role() == Http2Connection::Role::Server);
    if (!isComplete)
        m_connection->cancelStream(m_id, *m_stream);
}

Asio::awaitable<std::optional<Message>> Http2PeerStream::read()
{
    while (m_stream->receivedMessages.empty()) {
        if (m_stream->remoteFinished) {
            finish();
            co_return std::nullopt;
        }
        if (m_stream->closed)
            throw PeerError(
                PeerFailure::Unreachable, "peer stream closed before the peer finished it");
        co_await m_stream->stateChanged.wait();
    }
    Message message = std::move(m_stream->receivedMessages.front());
    m_stream->receivedMessages.pop_front();
    co_return message;
}

Asio::awaitable<void> Http2PeerStream::write(Message message)
{
    while (!m_stream->closed && m_stream->sendBuffer.size() > sendBufferLimitBytes)
        co_await m_stream->stateChanged.wait();
    if (m_stream->closed || m_stream->localFinished)
        throw PeerError(PeerFailure::Unreachable, "write to a closed or finished peer stream");
    m_connection->sendMessage(m_id, *m_stream, message);
}

void Http2PeerStream::finish()
{
    if (!m_stream->localFinished)
        m_connection->finishStream(m_id, *m_stream);
}

void Http2PeerStream::cancel()
{
    m_connection->cancelStream(m_id, *m_stream);
}

}
