#pragma once

#include "libapricot/clock.h"
#include "libnet/asyncevent.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace Apricot {

// What the link does to the bytes that pass.
struct LinkFaults {
    // Holds every byte and every new connection until the cut is healed, as lost packets would.
    bool cut = false;
    // Added to each direction.
    Milliseconds delay { 0 };

    auto operator<=>(const LinkFaults&) const = default;
};

struct LinkOptions {
    std::uint16_t port = 0;
    std::uint16_t targetPort = 0;
};

// A TCP connection between two processes that tests can cut and delay: listens on one port of the
// loopback address and passes the bytes on to another.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(boost::asio::io_context& context, LinkOptions options);

    void start();
    void setFaults(LinkFaults faults);
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<Socket> client);
    // Passes bytes one way until either side ends.
    boost::asio::awaitable<void> forward(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to);
    boost::asio::awaitable<void> waitWhileCut();

    boost::asio::io_context& m_context;
    LinkOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkFaults m_faults;
    AsyncEvent m_cutEnded;
};

}
