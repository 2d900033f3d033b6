#include "dispatch/callerwatch.h"

namespace Apricot {

boost::asio::awaitable<void> waitUntilClosed(std::shared_ptr<PeerStream> stream)
{
    try {
        while (co_await stream->read()) { }
    } catch (const std::runtime_error&) {
        // A broken stream means the same as one that the peer has finished.
    }
}

}
