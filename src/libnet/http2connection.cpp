#include "libnet/http2connection.h"

#include "libnet/http2peerstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr std::size_t lengthPrefixBytes = 4;
    constexpr unsigned bitsPerByte = 8;
    constexpr unsigned byteMask = 0xff;
    constexpr std::uint32_t streamWindowBytes = 1U << 20U;
    constexpr std::int32_t connectionWindowBytes = 1 << 24;
    constexpr std::uint32_t streamsPerConnection = 10000;
    constexpr std::size_t ioBufferBytes = 65536;
    constexpr Milliseconds livenessCheckInterval { 500 };
    // Time without data after which a peer is sent a ping; hosts that wait for news exchange data more often.
    constexpr Milliseconds pingDelay { 1000 };
    // Longest time without data from a peer that has been sent a ping.
    constexpr Milliseconds livenessTimeout { 2000 };

    nghttp2_nv makeField(std::string_view name, std::string_view value)
    {
        // nghttp2 copies both strings and modifies neither.
        return {
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())), // NOLINT
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), // NOLINT
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE
        };
    }

    std::string frameMessage(const Message& message)
    {
        const std::string payload = encodeMessage(message);
        std::string framed;
        framed.reserve(payload.size() + lengthPrefixBytes);
        for (std::size_t index = 0; index < lengthPrefixBytes; ++index) {
            const std::size_t shift = bitsPerByte * (lengthPrefixBytes - 1 - index);
            framed.push_back(static_cast<char>((payload.size() >> shift) & byteMask));
        }
        return framed + payload;
    }

    std::size_t decodeLength(std::string_view bytes)
    {
        std::size_t length = 0;
        for (std::size_t index = 0; index < lengthPrefixBytes; ++index)
            length = (length << bitsPerByte) | static_cast<std::uint8_t>(bytes[index]);
        return length;
    }

}

// Callbacks of nghttp2, with the connection as user data.
struct Http2Connection::Callbacks {
    static Http2Connection& self(void* userData) { return *static_cast<Http2Connection*>(userData); }

    static ssize_t provideData(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
        std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/, void* userData)
    {
        Http2Stream* stream = self(userData).findStream(id);
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        if (stream->sendBuffer.empty() && !stream->localFinished) {
            stream->sendDeferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        const std::size_t count = std::min(length, stream->sendBuffer.size());
        std::copy_n(stream->sendBuffer.begin(), count, buffer);
        stream->sendBuffer.erase(0, count);
        if (stream->sendBuffer.empty() && stream->localFinished)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream->stateChanged.notifyAll();
        return static_cast<ssize_t>(count);
    }

    static int onFrameReceived(
        nghttp2_session* /*session*/, const nghttp2_frame* frame, void* userData)
    {
        Http2Connection& connection = self(userData);
        const bool isRequest = frame->hd.type == NGHTTP2_HEADERS
            && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (isRequest)
            connection.acceptStream(frame->hd.stream_id);
        const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0
            && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS);
        Http2Stream* stream = endsStream ? connection.findStream(frame->hd.stream_id) : nullptr;
        if (stream) {
            stream->remoteFinished = true;
            stream->stateChanged.notifyAll();
        }
        return 0;
    }

    static int onDataReceived(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t id,
        const std::uint8_t* data, std::size_t length, void* userData)
    {
        Http2Stream* stream = self(userData).findStream(id);
        if (!stream)
            return 0;
        try {
            self(userData).receiveData(
                *stream, { reinterpret_cast<const char*>(data), length }); // NOLINT
        } catch (const MessageError&) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        return 0;
    }

    static int onStreamClosed(
        nghttp2_session* /*session*/, std::int32_t id, std::uint32_t error, void* userData)
    {
        self(userData).closeStream(id, error != NGHTTP2_NO_ERROR);
        return 0;
    }
};

Http2Connection::Http2Connection(Asio::ip::tcp::socket socket, Role role, PeerHandler handler)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_handler(std::move(handler))
    , m_writable(m_socket.get_executor())
    , m_livenessTimer(m_socket.get_executor())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::onFrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::onDataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::onStreamClosed);
    if (m_role == Role::Client)
        nghttp2_session_client_new(&m_session, callbacks, this);
    else
        nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

Http2Connection::~Http2Connection()
{
    nghttp2_session_del(m_session);
}

void Http2Connection::start()
{
    const std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, streamsPerConnection },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    Asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->readLoop(); },
        Asio::detached);
    Asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->writeLoop(); },
        Asio::detached);
    if (m_role == Role::Server)
        return;
    Asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->watchLiveness(); },
        Asio::detached);
}

std::shared_ptr<PeerStream> Http2Connection::openStream()
{
    const std::array<nghttp2_nv, 4> fields {
        makeField(":method", "POST"),
        makeField(":scheme", "http"),
        makeField(":path", "/peer"),
        makeField(":authority", "peer"),
    };
    nghttp2_data_provider provider {};
    provider.read_callback = &Callbacks::provideData;
    const std::int32_t id = m_open
        ? nghttp2_submit_request(
            m_session, nullptr, fields.data(), fields.size(), &provider, nullptr)
        : -1;
    if (id < 0)
        throw PeerError(PeerFailure::Unreachable, "connection to the peer is closed");
    auto stream = std::make_shared<Http2Stream>(m_socket.get_executor());
    m_streams.emplace(id, stream);
    m_writable.notifyAll();
    wakeLivenessWatch();
    return std::make_shared<Http2PeerStream>(shared_from_this(), id, std::move(stream));
}

void Http2Connection::acceptStream(std::int32_t id)
{
    auto stream = std::make_shared<Http2Stream>(m_socket.get_executor());
    m_streams.emplace(id, stream);
    const std::array<nghttp2_nv, 1> fields { makeField(":status", "200") };
    nghttp2_data_provider provider {};
    provider.read_callback = &Callbacks::provideData;
    nghttp2_submit_response(m_session, id, fields.data(), fields.size(), &provider);
    Asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this(), id, stream = std::move(stream)]() mutable {
            return self->runHandler(id, std::move(stream));
        },
        Asio::detached);
}

Asio::awaitable<void> Http2Connection::runHandler(
    std::int32_t id, std::shared_ptr<Http2Stream> stream)
{
    auto handle = std::make_shared<Http2PeerStream>(shared_from_this(), id, std::move(stream));
    try {
        co_await m_handler(handle);
        handle->finish();
    } catch (const std::exception&) {
        handle->cancel();
    }
}

void Http2Connection::announceShutdown()
{
    if (!m_open)
        return;
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE,
        nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR, nullptr, 0);
    m_writable.notifyAll();
}

void Http2Connection::close()
{
    if (!m_open)
        return;
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored); // NOLINT(bugprone-unused-return-value)
    m_writable.notifyAll();
    m_livenessTimer.cancel();
    const auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto& [id, stream] : streams) {
        stream->closed = true;
        stream->broken = true;
        stream->stateChanged.notifyAll();
    }
}

void Http2Connection::sendMessage(std::int32_t id, Http2Stream& stream, const Message& message)
{
    stream.sendBuffer += frameMessage(message);
    resumeSending(id, stream);
}

void Http2Connection::finishStream(std::int32_t id, Http2Stream& stream)
{
    stream.localFinished = true;
    resumeSending(id, stream);
}

void Http2Connection::cancelStream(std::int32_t id, Http2Stream& stream)
{
    if (stream.closed || !m_open)
        return;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    m_writable.notifyAll();
    // Closes the stream locally at once: readers must not depend on a peer that may accept no more
    // data.
    closeStream(id, true);
}

void Http2Connection::resumeSending(std::int32_t id, Http2Stream& stream)
{
    if (!m_open || stream.closed)
        return;
    if (stream.sendDeferred) {
        stream.sendDeferred = false;
        nghttp2_session_resume_data(m_session, id);
    }
    m_writable.notifyAll();
}

void Http2Connection::receiveData(Http2Stream& stream, std::string_view data)
{
    stream.receiveBuffer.append(data);
    std::size_t offset = 0;
    while (stream.receiveBuffer.size() - offset >= lengthPrefixBytes) {
        const std::string_view rest = std::string_view(stream.receiveBuffer).substr(offset);
        const std::size_t length = decodeLength(rest);
        if (length > messageLimitBytes)
            throw MessageError("peer message exceeds the size limit");
        if (rest.size() - lengthPrefixBytes < length)
            break;
        stream.receivedMessages.push_back(decodeMessage(rest.substr(lengthPrefixBytes, length)));
        offset += lengthPrefixBytes + length;
    }
    stream.receiveBuffer.erase(0, offset);
    stream.stateChanged.notifyAll();
}

void Http2Connection::closeStream(std::int32_t id, bool broken)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const std::shared_ptr<Http2Stream> stream = found->second;
    m_streams.erase(found);
    stream->closed = true;
    stream->broken = broken;
    stream->stateChanged.notifyAll();
}

Http2Stream* Http2Connection::findStream(std::int32_t id)
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second.get();
}

Asio::awaitable<void> Http2Connection::readLoop()
{
    std::array<std::uint8_t, ioBufferBytes> buffer {};
    while (m_open) {
        boost::system::error_code error;
        const std::size_t count = co_await m_socket.async_read_some(
            Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
        if (error || !m_open)
            break;
        m_lastReceived = RuntimeClock::now();
        if (nghttp2_session_mem_recv(m_session, buffer.data(), count) < 0)
            break;
        m_writable.notifyAll();
        if (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session))
            break;
    }
    close();
}

void Http2Connection::wakeLivenessWatch()
{
    if (m_isLivenessWatchAsleep)
        m_livenessTimer.cancel();
}

Asio::awaitable<void> Http2Connection::watchLiveness()
{
    TimePoint lastCheck = RuntimeClock::now();
    m_lastReceived = lastCheck;
    while (m_open) {
        m_isLivenessWatchAsleep = m_streams.empty();
        m_livenessTimer.expires_at(
            m_isLivenessWatchAsleep ? TimePoint::max() : RuntimeClock::now() + livenessCheckInterval);
        boost::system::error_code ignored;
        co_await m_livenessTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        const bool hadNoStream = std::exchange(m_isLivenessWatchAsleep, false);
        const TimePoint now = RuntimeClock::now();
        // After a pause of this process, responses to its pings may still be unread in the socket.
        const bool wasPaused = now - lastCheck > livenessTimeout;
        lastCheck = now;
        if (!m_open || m_streams.empty() || wasPaused || hadNoStream) {
            m_lastReceived = now;
            continue;
        }
        const Duration silence = now - m_lastReceived;
        if (silence > livenessTimeout)
            break;
        if (silence < pingDelay)
            continue;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        m_writable.notifyAll();
    }
    close();
}

Asio::awaitable<void> Http2Connection::writeLoop()
{
    while (m_open) {
        std::string batch;
        while (batch.size() < ioBufferBytes) {
            const std::uint8_t* data = nullptr;
            const ssize_t count = nghttp2_session_mem_send(m_session, &data);
            if (count <= 0)
                break;
            batch.append(reinterpret_cast<const char*>(data), count); // NOLINT
        }
        if (batch.empty()) {
            co_await m_writable.wait();
            continue;
        }
        boost::system::error_code error;
        co_await Asio::async_write(m_socket, Asio::buffer(batch),
            Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            break;
    }
    close();
}

}
