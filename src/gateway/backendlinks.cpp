#include "gateway/backendlinks.h"

#include "libnet/asyncevent.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A process that ends closes its connections and its listener at the same time; the kernel may take a
    // moment between them.
    constexpr Milliseconds probeDelay { 20 };
    constexpr Milliseconds probeTimeout { 350 };

}

BackendLinks::BackendLinks(Asio::io_context& context)
    : m_context(context)
{
}

Asio::awaitable<bool> BackendLinks::refusesConnections(Endpoint endpoint)
{
    co_await sleepFor(m_context.get_executor(), probeDelay);
    Endpoint target = m_translation ? m_translation(endpoint) : std::move(endpoint);
    const boost::system::error_code error = co_await tryConnect(m_context, std::move(target), probeTimeout);
    co_return error == Asio::error::connection_refused;
}

}
