#include "libapricot/scopedcount.h"
#include "libnet/http2connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Apricot {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

class PeerServer::Impl : public std::enable_shared_from_this<PeerServer::Impl> {
public:
    Impl(Asio::io_context& context, const PeerServerOptions& options, PeerHandler handler)
        : m_handler(std::move(handler))
        , m_acceptor(context, Tcp::endpoint(Asio::ip::make_address(options.address), options.port))
        , m_port(m_acceptor.local_endpoint().port())
    {
    }

    void start()
    {
        Asio::co_spawn(
            m_acceptor.get_executor(), [self = shared_from_this()] { return self->acceptConnections(); },
            Asio::detached);
    }

    std::uint16_t port() const { return m_port; }
    std::size_t streamsInFlight() const { return m_streamsInFlight; }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored); // NOLINT(bugprone-unused-return-value)
        for (const auto& weak : m_connections) {
            if (const auto connection = weak.lock())
                connection->announceShutdown();
        }
    }

private:
    Asio::awaitable<void> acceptConnections()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await m_acceptor.async_accept(
                Asio::redirect_error(Asio::use_awaitable, error));
            if (!error)
                addConnection(std::move(socket));
        }
    }

    void addConnection(Tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
        const auto connection = std::make_shared<Http2Connection>(std::move(socket),
            Http2Connection::Role::Server,
            [self = shared_from_this()](std::shared_ptr<PeerStream> stream) {
                return self->serveStream(std::move(stream));
            });
        std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
        m_connections.push_back(connection);
        connection->start();
    }

    Asio::awaitable<void> serveStream(std::shared_ptr<PeerStream> stream)
    {
        const ScopedCount inFlight(m_streamsInFlight);
        co_await m_handler(std::move(stream));
    }

    PeerHandler m_handler;
    Tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::size_t m_streamsInFlight = 0;
    std::vector<std::weak_ptr<Http2Connection>> m_connections;
};

PeerServer::PeerServer(
    Asio::io_context& context, PeerServerOptions options, PeerHandler handler)
    : m_impl(std::make_shared<Impl>(context, options, std::move(handler)))
{
    m_impl->start();
}

PeerServer::~PeerServer()
{
    m_impl->stopAccepting();
}

std::uint16_t PeerServer::port() const
{
    return m_impl->port();
}

std::size_t PeerServer::streamsInFlight() const
{
    return m_impl->streamsInFlight();
}

void PeerServer::stopAccepting()
{
    m_impl->stopAccepting();
}

}
