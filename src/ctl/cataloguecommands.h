#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Commands over the objects of the catalogue; see their help in commandline.cpp.
CommandResult runValidate(const CommandContext& context);
CommandResult runApply(const CommandContext& context);
CommandResult runGet(const CommandContext& context);
CommandResult runList(const CommandContext& context);
CommandResult runDiff(const CommandContext& context);
CommandResult runDelete(const CommandContext& context);

// The object kind that a word on the command line names. Throws CommandError.
ObjectKind parseKind(const std::string& word);

}
