#pragma once

#include "libnet/http2connection.h"

namespace Apricot {

// Handle of one stream of an Http2Connection. Destroying the handle of an unfinished stream cancels
// the stream.
class Http2PeerStream : public PeerStream {
public:
    Http2PeerStream(std::shared_ptr<Http2Connection> connection, std::int32_t id,
        std::shared_ptr<Http2Stream> stream);
    ~Http2PeerStream() override;

    Http2PeerStream(const Http2PeerStream&) = delete;
    Http2PeerStream& operator=(const Http2PeerStream&) = delete;

    boost::asio::awaitable<std::optional<Message>> read() override;
    boost::asio::awaitable<void> write(Message message) override;
    void finish() override;
    void cancel() override;

private:
    std::shared_ptr<Http2Connection> m_connection;
    std::int32_t m_id;
    std::shared_ptr<Http2Stream> m_stream;
};

}
