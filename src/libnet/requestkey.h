#pragma once

#include "libapricot/identifier.h"

namespace Apricot {

// A new key: a random UUID of version 7 (RFC 9562), which carries the time at which it was made.
RequestKey makeRequestKey();

}
