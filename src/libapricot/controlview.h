#pragma once

#include "libapricot/cellstate.h"

#include <memory>

namespace Apricot {

// Immutable snapshot of the control thread's state, published for the traffic threads.
struct ControlView {
    HostId self;
    std::string incarnation;
    FailureDomainId failureDomain;
    std::shared_ptr<const Catalogue> catalogue;
    std::shared_ptr<const CellState> cell;
    ObjectVersion epoch = 0;
    // Time until which this process may start new work; see docs/DESIGN.md, evidence.
    TimePoint permittedUntil {};
    // Whether this process has begun its graceful shutdown.
    bool stopping = false;
    // Newest epoch that more than half of the members are known to have acknowledged.
    ObjectVersion acknowledgedEpoch = 0;

    bool permits(TimePoint now) const { return now < permittedUntil; }
};

// Provides the newest snapshot. May be called from any thread.
class ControlViewSource {
public:
    virtual ~ControlViewSource() = default;
    virtual std::shared_ptr<const ControlView> view() const = 0;
};

}
