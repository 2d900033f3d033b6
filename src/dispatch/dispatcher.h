#pragma once

#include "dispatch/claimservice.h"
#include "dispatch/controlplane.h"
#include "dispatch/coordinator.h"
#include "dispatch/homeservice.h"
#include "dispatch/limitservice.h"
#include "dispatch/recordservice.h"

namespace Apricot {

// The services of a dispatch daemon that handle streams opened by peers.
struct DispatchServices {
    boost::asio::io_context& controlContext;
    ControlPlane& controlPlane;
    Coordinator& coordinator;
    HomeService& homes;
    RecordService& recordService;
    ClaimService& claims;
    LimitService& limits;
};

// Passes each stream opened by a peer to the service that handles its first message. Runs on the
// traffic thread; control requests are handled on the control thread.
class Dispatcher {
public:
    explicit Dispatcher(DispatchServices services);

    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream);

private:
    boost::asio::awaitable<void> respondToControl(
        std::shared_ptr<PeerStream> stream, Message request);

    DispatchServices m_services;
};

}
