#pragma once

#include "libapricot/controlview.h"

#include <string_view>

namespace Apricot {

// Whether the control snapshot permits new work on a server, or why it does not.
enum class StartCondition {
    Allowed,
    // This process has no valid evidence and may not start new work.
    NoEvidence,
    // Another process is home of the replica, or no process is.
    NotHome,
    // The server is unknown, or its failure domain or host is out of service or leaving.
    OutOfService,
};

// Condition for starting new work at the given time. Must be checked again immediately before a
// request is sent.
StartCondition startCondition(
    const ControlView& view, const BackendServerId& server, TimePoint now);

// Assignment of a replica to this process, or nullptr.
const HomeAssignment* ownAssignment(const ControlView& view, const BackendServerId& server);

// Name for logs and dumps, such as "no_evidence".
std::string_view startConditionName(StartCondition condition);

}
