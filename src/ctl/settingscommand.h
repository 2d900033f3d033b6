#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Prints the settings reference of a daemon. Its help is in commandline.cpp.
CommandResult runSettings(const CommandContext& context);

}
