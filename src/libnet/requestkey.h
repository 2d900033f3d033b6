#pragma once

#include "libapricot/identifier.h"

namespace Apricot {

// Generates a new key: a random UUID of version 7 (RFC 9562), which contains its creation time.
RequestKey makeRequestKey();

}
