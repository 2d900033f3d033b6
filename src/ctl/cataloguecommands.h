#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Commands that read and write catalogue objects. Their help is in commandline.cpp.
CommandResult runValidate(const CommandContext& context);
CommandResult runApply(const CommandContext& context);
CommandResult runGet(const CommandContext& context);
CommandResult runList(const CommandContext& context);
CommandResult runDiff(const CommandContext& context);
CommandResult runDelete(const CommandContext& context);

// Returns the object kind with this name on the command line. Throws CommandError for an unknown
// kind.
ObjectKind parseKind(const std::string& word);

}
