#pragma once

#include "libapricot/clock.h"
#include "libnet/asyncevent.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace Apricot {

// Faults applied to the forwarded connections.
struct LinkFaults {
    // Holds back all data and all new connections until the cut ends, as packet loss would.
    bool cut = false;
    // Delay added in each direction.
    Milliseconds delay { 0 };

    auto operator<=>(const LinkFaults&) const = default;
};

struct LinkOptions {
    std::uint16_t port = 0;
    std::uint16_t targetPort = 0;
};

// TCP forwarder between two processes that tests can cut and delay. Listens on one port of the
// loopback address and forwards connections to another.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(boost::asio::io_context& context, LinkOptions options);

    void start();
    void setFaults(LinkFaults faults);
    // Resets the connections that are being forwarded.
    void resetConnections();
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<Socket> client);
    // Forwards data in one direction until either side closes its connection or fails.
    boost::asio::awaitable<void> forward(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to);
    boost::asio::awaitable<void> waitWhileCut();

    boost::asio::io_context& m_context;
    LinkOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkFaults m_faults;
    AsyncEvent m_cutEnded;
    std::vector<std::weak_ptr<Socket>> m_sockets;
};

}
