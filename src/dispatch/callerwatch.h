#pragma once

#include "libnet/peerstream.h"

namespace Apricot {

// Returns once the far side of a stream has finished it or is gone. Nothing that it sends is used.
boost::asio::awaitable<void> waitUntilClosed(std::shared_ptr<PeerStream> stream);

}
