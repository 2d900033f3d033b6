#pragma once

#include "libnet/httpclient.h"
#include "libserving/linktable.h"
#include "libserving/servingview.h"

#include <random>
#include <set>

namespace Apricot {

// The links from this host to the backend servers: which are lost, and whether lost ones are back.
class BackendLinks {
public:
    BackendLinks(boost::asio::io_context& context, ServingView& view);

    // Sets a translation for networks in which this host reaches servers at other addresses than listed.
    void setTranslation(AddressTranslation translation) { m_translation = std::move(translation); }
    const AddressTranslation& translation() const { return m_translation; }
    // Called when this host has lost its links to all servers, and when the first one is back.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

    void recordReached(const Endpoint& server);
    void recordUnreachable(const Endpoint& server, const boost::system::error_code& error);
    // Records that a connection to a server was opened, before anything is sent on it. A server that refused connections
    // before has started again, and counts as cold also while the store cannot say so.
    void recordConnected(const Endpoint& server);
    // Whether calls to a server had better take another path.
    bool isLost(const Endpoint& server) const { return m_table.isLost(server, RuntimeClock::now()); }
    // Whether this host reaches no server.
    bool isCutOff() const;
    std::size_t lostLinks() const { return m_table.lostLinks(); }

    // Connects to a server, and records whether that was possible. Returns the error of the attempt, if any.
    boost::asio::awaitable<boost::system::error_code> probe(Endpoint server);
    // Probes a server whose response to a call sent at a time has not begun, unless it has responded to others.
    void probeIfSilent(const Endpoint& server, TimePoint sentAt);
    // Whether this host reaches a server other than this one, or knows no other.
    boost::asio::awaitable<bool> reachesAnother(Endpoint server);

    // Forgets the servers that have left the view.
    void removeUnknownServers();

private:
    // Some known servers, other than this one, whose links are not known to be lost.
    std::vector<Endpoint> otherServers(const std::optional<Endpoint>& server, std::size_t count);
    // Probes lost links until there are none.
    boost::asio::awaitable<void> probeLostLinks();
    boost::asio::awaitable<void> probeAll(std::vector<Endpoint> servers);
    void updateCutOff();

    boost::asio::io_context& m_context;
    ServingView& m_view;
    AddressTranslation m_translation;
    std::function<void()> m_changeHandler;
    LinkTable m_table;
    // Servers whose hosts refused a connection because no process listened.
    std::set<Endpoint> m_refusing;
    bool m_isProbing = false;
    bool m_wasCutOff = false;
    std::minstd_rand m_random;
};

}
