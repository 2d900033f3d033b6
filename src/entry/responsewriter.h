#pragma once

#include "libapricot/refusal.h"
#include "libnet/httpserver.h"
#include "libnet/messages.h"

namespace Apricot {

// Writes one response to a caller as server-sent events. The event "done" marks a complete response,
// the event "refused" one that ends early; a stream that ends with neither was interrupted.
class ResponseWriter {
public:
    ResponseWriter(HttpExchange& exchange, const RequestKey& key);

    boost::asio::awaitable<void> writeToken(const TokenMessage& token);
    boost::asio::awaitable<void> writeCompleted(const CompletedMessage& completed);
    // Writes the refusal as a JSON response, or as the event "refused" if the stream has started.
    boost::asio::awaitable<void> writeRefusal(const Refusal& refusal);

private:
    boost::asio::awaitable<void> beginResponse();

    HttpExchange& m_exchange;
    RequestKey m_key;
};

}
