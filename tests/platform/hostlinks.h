#pragma once

#include "emulator/link/link.h"
#include "libapricot/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

// How the links of a host to backend servers are cut.
enum class LinkFault {
    None,
    // Open connections live on, and new ones are refused.
    RefusesNew,
    // Open connections are reset, and new ones refused.
    Resets,
    // Open connections fall silent, and new ones get no response.
    Silent,
};

// The links of one host of a cluster to the backend servers, each of which is forwarded on its own.
class HostLinks {
public:
    explicit HostLinks(boost::asio::io_context& context);

    // Cuts the links to servers whose ports are selected, or all of them, and restores the others.
    void setFault(LinkFault fault, std::function<bool(std::uint16_t)> selects = {});
    // Address for a new connection to a server, which is forwarded or direct.
    Apricot::Endpoint translate(const Apricot::Endpoint& server, bool isForwarded);
    // Number of connections that were opened to a server since the last fault was set.
    std::size_t connections() const { return m_connections; }

private:
    bool isCut(std::uint16_t port) const;

    boost::asio::io_context& m_context;
    LinkFault m_fault = LinkFault::None;
    std::function<bool(std::uint16_t)> m_selects;
    std::map<std::uint16_t, std::shared_ptr<Apricot::Link>> m_links;
    // Bound, but not listening.
    boost::asio::ip::tcp::acceptor m_refusing;
    // Accepts nothing, and its queue of connections is full.
    boost::asio::ip::tcp::acceptor m_unresponsive;
    std::vector<boost::asio::ip::tcp::socket> m_queued;
    std::size_t m_connections = 0;
};
