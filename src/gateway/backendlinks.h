#pragma once

#include "libnet/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Apricot {

// The links from this host to the backend servers.
class BackendLinks {
public:
    explicit BackendLinks(boost::asio::io_context& context);

    // Sets a translation for networks in which this host reaches servers at other addresses than listed.
    void setTranslation(AddressTranslation translation) { m_translation = std::move(translation); }
    const AddressTranslation& translation() const { return m_translation; }
    // Connects to the address of a backend server whose connection has just ended. Returns whether its host
    // refuses the connection, which shows that the server's process has ended. No response shows nothing.
    boost::asio::awaitable<bool> refusesConnections(Endpoint endpoint);

private:
    boost::asio::io_context& m_context;
    AddressTranslation m_translation;
};

}
