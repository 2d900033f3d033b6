#include "gateway/serverprobe.h"

#include "libnet/asyncevent.h"
#include "libnet/httpclient.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A process that ends closes its connections and its listener at the same time; the kernel may take a
    // moment between them.
    constexpr Milliseconds probeDelay { 20 };
    constexpr Milliseconds probeTimeout { 350 };

}

Asio::awaitable<bool> refusesConnections(Asio::io_context& context, Endpoint endpoint)
{
    co_await sleepFor(context.get_executor(), probeDelay);
    const boost::system::error_code error
        = co_await tryConnect(context, std::move(endpoint), probeTimeout);
    co_return error == Asio::error::connection_refused;
}

}
