#pragma once

#include "libapricot/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Apricot {

// Connects to the address of a backend server whose connection has just ended. Returns whether its host
// refuses the connection, which shows that the server's process has ended. No response shows nothing.
boost::asio::awaitable<bool> refusesConnections(boost::asio::io_context& context, Endpoint endpoint);

}
