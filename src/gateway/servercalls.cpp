#include "gateway/servercalls.h"

#include "libnet/watchdog.h"

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds connectTimeout { 350 };
    // Time without a response after which the link to its server is checked.
    constexpr Milliseconds silenceTime = LinkTableOptions {}.silenceTime;

}

ServerCalls::ServerCalls(Asio::io_context& context, BackendLinks& links, RelayClient& relays)
    : m_context(context)
    , m_links(links)
    , m_relays(relays)
{
}

Asio::awaitable<std::unique_ptr<HttpStream>> ServerCalls::open(
    CallTarget target, HttpCall call, HttpSendGate gate)
{
    auto shared = std::make_shared<HttpCall>(std::move(call));
    if (!m_links.isLost(target.server.endpoint)) {
        try {
            Endpoint endpoint = target.server.endpoint;
            co_return co_await openDirect(std::move(endpoint), shared, gate);
        } catch (const CallNotSentError&) {
            if (shared->cancel && shared->cancel->isCancelled())
                throw;
        }
    }
    co_return co_await m_relays.open(std::move(target), std::move(shared), std::move(gate));
}

Asio::awaitable<std::unique_ptr<HttpStream>> ServerCalls::openDirect(
    Endpoint server, std::shared_ptr<HttpCall> call, HttpSendGate gate)
{
    const std::shared_ptr<HttpClient> client = clientFor(server);
    const std::shared_ptr<HttpCancel> cancel = call->cancel;
    bool isSent = false;
    boost::system::error_code failure;
    try {
        std::optional<Watchdog> silence;
        HttpSendGate watched = [&] {
            m_links.recordConnected(server);
            isSent = !gate || gate();
            silence.emplace(m_context, silenceTime,
                [this, server, sentAt = RuntimeClock::now()] { m_links.probeIfSilent(server, sentAt); });
            return isSent;
        };
        std::unique_ptr<HttpStream> stream = co_await client->open(std::move(call), std::move(watched));
        if (stream)
            m_links.recordReached(server);
        co_return stream;
    } catch (const boost::system::system_error& error) {
        failure = error.code();
    }
    if (isSent)
        throw boost::system::system_error(failure);
    if (!cancel || !cancel->isCancelled())
        m_links.recordUnreachable(server, failure);
    throw CallNotSentError(failure);
}

void ServerCalls::closeIdleConnections(const Endpoint& server)
{
    const auto client = m_clients.find(server);
    if (client != m_clients.end())
        client->second->closeIdleConnections();
}

void ServerCalls::retain(const std::set<Endpoint>& servers)
{
    std::erase_if(m_clients, [&servers](const auto& entry) { return !servers.contains(entry.first); });
}

std::shared_ptr<HttpClient> ServerCalls::clientFor(const Endpoint& server)
{
    std::shared_ptr<HttpClient>& client = m_clients[server];
    if (!client) {
        HttpClientOptions options { .address = server.address,
            .port = server.port,
            .connectTimeout = connectTimeout,
            .usesKeepaliveProbes = true,
            .translation = m_links.translation() };
        client = std::make_shared<HttpClient>(m_context, std::move(options));
    }
    return client;
}

}
