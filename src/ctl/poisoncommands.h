#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Commands for requests that the gateways refuse because they crash servers. Their help is in
// commandline.cpp.
CommandResult runPoisoned(const CommandContext& context);
CommandResult runPoisonedClear(const CommandContext& context);

}
