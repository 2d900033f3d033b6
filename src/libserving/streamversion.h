#pragma once

#include "libapricot/identifier.h"

namespace Apricot {

// Whether a server of one software version may go on with a stream that another version began. An entry without
// a version may hide any version.
inline bool canContinueStream(const SoftwareVersion& begunAt, const SoftwareVersion& server)
{
    return !begunAt.empty() && begunAt == server;
}

}
