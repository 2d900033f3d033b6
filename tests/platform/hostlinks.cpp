#include "hostlinks.h"

using namespace Apricot;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace {

// A listening socket queues one connection more than its backlog.
constexpr int queuedConnections = 2;

}

HostLinks::HostLinks(Asio::io_context& context)
    : m_context(context)
    , m_refusing(context, Tcp::v4())
    , m_unresponsive(context, Tcp::v4())
{
    m_refusing.bind({ Asio::ip::address_v4::loopback(), 0 });
    m_queued.reserve(queuedConnections);
    m_unresponsive.bind({ Asio::ip::address_v4::loopback(), 0 });
    m_unresponsive.listen(0);
    for (int index = 0; index < queuedConnections; ++index) {
        m_queued.emplace_back(context);
        m_queued.back().async_connect(m_unresponsive.local_endpoint(), [](boost::system::error_code /*error*/) {});
    }
}

bool HostLinks::isCut(std::uint16_t port) const
{
    return m_fault != LinkFault::None && (!m_selects || m_selects(port));
}

void HostLinks::setFault(LinkFault fault, std::function<bool(std::uint16_t)> selects)
{
    m_fault = fault;
    m_selects = std::move(selects);
    m_connections = 0;
    for (const auto& [port, link] : m_links) {
        link->setFaults({ .cut = fault == LinkFault::Silent && isCut(port) });
        if (fault == LinkFault::Resets && isCut(port))
            link->resetConnections();
    }
}

Endpoint HostLinks::translate(const Endpoint& server, bool isForwarded)
{
    ++m_connections;
    if (isCut(server.port) && m_fault == LinkFault::Silent)
        return { server.address, m_unresponsive.local_endpoint().port() };
    if (isCut(server.port))
        return { server.address, m_refusing.local_endpoint().port() };
    if (!isForwarded)
        return server;
    std::shared_ptr<Link>& link = m_links[server.port];
    if (!link) {
        link = std::make_shared<Link>(m_context, LinkOptions { .targetPort = server.port });
        link->start();
    }
    return { server.address, link->port() };
}
