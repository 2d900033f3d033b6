#pragma once

#include "libapricot/refusal.h"
#include "libnet/httpserver.h"
#include "libnet/messages.h"

namespace Apricot {

// Writes one answer to a caller as server-sent events. The event "done" marks a whole answer, the
// event "refused" one that ends early; a stream that ends with neither was cut.
class ResponseWriter {
public:
    ResponseWriter(HttpExchange& exchange, const RequestKey& key);

    boost::asio::awaitable<void> writeToken(const TokenMessage& token);
    boost::asio::awaitable<void> writeCompleted(const CompletedMessage& completed);
    // Writes a JSON refusal, or the event when tokens have been sent already.
    boost::asio::awaitable<void> writeRefusal(const Refusal& refusal);

private:
    boost::asio::awaitable<void> beginResponse();

    HttpExchange& m_exchange;
    RequestKey m_key;
};

}
