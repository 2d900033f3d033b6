#include "gateway/relayedstream.h"

#include "libnet/watchdog.h"

#include <boost/beast/core/error.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

const char* relayEndName(RelayEnd end)
{
    switch (end) {
    case RelayEnd::Complete:
        return "sent";
    case RelayEnd::CutOff:
        return "peer_cut_off";
    case RelayEnd::NoLink:
        return "peer_without_link";
    case RelayEnd::Busy:
        return "peer_busy";
    case RelayEnd::Unreachable:
        return "peer_unreachable";
    case RelayEnd::NotPermitted:
        return "not_permitted";
    case RelayEnd::Broken:
        return "broken";
    case RelayEnd::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

void throwRelayError(RelayEnd end)
{
    if (end == RelayEnd::TimedOut)
        throw boost::system::system_error(boost::beast::error::timeout);
    throw boost::system::system_error(Asio::error::connection_reset);
}

RelayedStream::RelayedStream(Asio::io_context& context, std::shared_ptr<PeerStream> stream, RelayHeadMessage head,
    std::shared_ptr<HttpCancel> cancel, Milliseconds timeout, std::shared_ptr<void> inFlight)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_framing(head.framing)
    , m_cancel(std::move(cancel))
    , m_timeout(timeout)
    , m_inFlight(std::move(inFlight))
{
    m_head.status = head.status;
    m_head.fields = std::move(head.fields);
}

RelayedStream::~RelayedStream()
{
    if (!m_isComplete)
        m_stream->cancel();
}

void RelayedStream::setTotalTimeout(Milliseconds timeout)
{
    m_endsAt = RuntimeClock::now() + timeout;
}

Asio::awaitable<std::optional<Message>> RelayedStream::readMessage()
{
    const Duration timeout = m_endsAt ? *m_endsAt - RuntimeClock::now() : Duration(m_timeout);
    const Watchdog watchdog(
        m_context, std::max(timeout, Duration(0)), [stream = m_stream] { stream->cancel(); });
    try {
        co_return co_await m_stream->read();
    } catch (const PeerError&) {
        if (watchdog.hasExpired())
            throw boost::system::system_error(boost::beast::error::timeout);
    }
    // The peer's end shows nothing about the server.
    throw boost::system::system_error(Asio::error::operation_aborted);
}

Asio::awaitable<std::optional<std::string>> RelayedStream::read()
{
    if (m_isComplete)
        co_return std::nullopt;
    std::optional<Message> message = co_await readMessage();
    if (auto* data = message ? std::get_if<RelayDataMessage>(&*message) : nullptr) {
        m_unreportedBytes += data->data.size();
        if (m_unreportedBytes >= relayConsumedBytes) {
            Message consumed = RelayConsumedMessage { std::exchange(m_unreportedBytes, 0) };
            try {
                co_await m_stream->write(std::move(consumed));
            } catch (const PeerError&) {
                // The peer has sent the whole response, or the next read reports the error.
                m_unreportedBytes = 0;
            }
        }
        co_return std::move(data->data);
    }
    const auto* end = message ? std::get_if<RelayEndMessage>(&*message) : nullptr;
    if (!end)
        throw boost::system::system_error(Asio::error::operation_aborted);
    if (end->end != RelayEnd::Complete)
        throwRelayError(end->end);
    m_isComplete = true;
    m_stream->finish();
    if (m_cancel)
        m_cancel->setAction(nullptr);
    co_return std::nullopt;
}

}
