#pragma once

#include "libnet/peerstream.h"

namespace Apricot {

// Returns once the peer has finished the stream or has disconnected. Discards whatever it sends.
boost::asio::awaitable<void> waitUntilClosed(std::shared_ptr<PeerStream> stream);

}
