#include "emulator/link/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Apricot {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::size_t bufferSize = 16384;

    Tcp::endpoint loopback(std::uint16_t port)
    {
        return { Asio::ip::address_v4::loopback(), port };
    }

}

Link::Link(Asio::io_context& context, LinkOptions options)
    : m_context(context)
    , m_options(options)
    , m_acceptor(context, loopback(options.port))
    , m_cutEnded(context.get_executor())
{
}

void Link::start()
{
    Asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->acceptConnections(); },
        Asio::detached);
}

void Link::setFaults(LinkFaults faults)
{
    m_faults = faults;
    if (!faults.cut)
        m_cutEnded.notifyAll();
}

void Link::resetConnections()
{
    boost::system::error_code ignored;
    for (const std::weak_ptr<Socket>& weak : m_sockets) {
        const std::shared_ptr<Socket> socket = weak.lock();
        if (!socket)
            continue;
        socket->set_option(Asio::socket_base::linger(true, 0), ignored); // NOLINT(bugprone-unused-return-value)
        socket->close(ignored); // NOLINT(bugprone-unused-return-value)
    }
    m_sockets.clear();
}

Asio::awaitable<void> Link::acceptConnections()
{
    while (true) {
        auto client = std::make_shared<Socket>(m_context);
        co_await m_acceptor.async_accept(*client, Asio::use_awaitable);
        Asio::co_spawn(
            m_context,
            [self = shared_from_this(), client] { return self->serveConnection(client); },
            Asio::detached);
    }
}

Asio::awaitable<void> Link::serveConnection(std::shared_ptr<Socket> client)
{
    co_await waitWhileCut();
    auto server = std::make_shared<Socket>(m_context);
    boost::system::error_code error;
    co_await server->async_connect(
        loopback(m_options.targetPort), Asio::redirect_error(Asio::use_awaitable, error));
    if (error)
        co_return;
    client->set_option(Tcp::no_delay(true));
    server->set_option(Tcp::no_delay(true));
    std::erase_if(m_sockets, [](const auto& weak) { return weak.expired(); });
    m_sockets.insert(m_sockets.end(), { client, server });
    Asio::co_spawn(
        m_context,
        [self = shared_from_this(), client, server] { return self->forward(client, server); },
        Asio::detached);
    co_await forward(server, client);
}

Asio::awaitable<void> Link::forward(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to)
{
    std::array<char, bufferSize> buffer {};
    boost::system::error_code error;
    while (!error) {
        const std::size_t count = co_await from->async_read_some(
            Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            break;
        if (m_faults.delay.count() > 0)
            co_await sleepFor(m_context.get_executor(), m_faults.delay);
        co_await waitWhileCut();
        co_await Asio::async_write(*to, Asio::buffer(buffer.data(), count),
            Asio::redirect_error(Asio::use_awaitable, error));
    }
    co_await waitWhileCut();
    to->close(error); // NOLINT(bugprone-unused-return-value)
    from->close(error); // NOLINT(bugprone-unused-return-value)
}

Asio::awaitable<void> Link::waitWhileCut()
{
    while (m_faults.cut)
        co_await m_cutEnded.wait();
}

}
