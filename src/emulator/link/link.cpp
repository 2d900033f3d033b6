#include "emulator/link/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Apricot {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = 16384;

    Tcp::endpoint loopback(std::uint16_t port)
    {
        return { Asio::ip::address_v4::loopback(), port };
    }

}

Link::Link(Asio::io_context& context, LinkOptions options)
    : m_context(context)
    , m_options(options)
    , m_acceptor(context, loopback(options.port))
    , m_healed(context.get_executor())
{
}

void Link::start()
{
    Asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->accept(); }, Asio::detached);
}

void Link::setFaults(LinkFaults faults)
{
    m_faults = faults;
    if (!faults.cut)
        m_healed.notifyAll();
}

Asio::awaitable<void> Link::accept()
{
    while (true) {
        auto near = std::make_shared<Socket>(m_context);
        co_await m_acceptor.async_accept(*near, Asio::use_awaitable);
        Asio::co_spawn(
            m_context, [self = shared_from_this(), near] { return self->connect(near); },
            Asio::detached);
    }
}

Asio::awaitable<void> Link::connect(std::shared_ptr<Socket> near)
{
    co_await waitWhileCut();
    auto far = std::make_shared<Socket>(m_context);
    boost::system::error_code error;
    co_await far->async_connect(
        loopback(m_options.targetPort), Asio::redirect_error(Asio::use_awaitable, error));
    if (error)
        co_return;
    near->set_option(Tcp::no_delay(true));
    far->set_option(Tcp::no_delay(true));
    Asio::co_spawn(
        m_context, [self = shared_from_this(), near, far] { return self->pump(near, far); },
        Asio::detached);
    co_await pump(far, near);
}

Asio::awaitable<void> Link::pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to)
{
    std::array<char, readBytes> buffer {};
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
        co_await m_healed.wait();
}

}
