#pragma once

#include "libapricot/controlview.h"

#include <string_view>

namespace Apricot {

// What the control snapshot says about starting new work on a server.
enum class StartCondition {
    Allowed,
    // This process may not start anything on what it knows.
    NoEvidence,
    // Another process is home of the replica, or none.
    NotHome,
    // The server is unknown, or its failure domain or host is out of service or leaving.
    OutOfService,
};

// Judges a start at an instant. Has to be asked again at the last moment before the bytes leave.
StartCondition startCondition(
    const ControlView& view, const BackendServerId& server, TimePoint now);

// Assignment of a replica to this very process, or nullptr.
const HomeAssignment* ownAssignment(const ControlView& view, const BackendServerId& server);

// Name for logs and dumps, such as "no_evidence".
std::string_view startConditionName(StartCondition condition);

}
