#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Prints the reference of a daemon's settings; see its help in commandline.cpp.
CommandResult runSettings(const CommandContext& context);

}
