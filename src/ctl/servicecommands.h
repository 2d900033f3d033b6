#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Commands over service states and running processes; see their help in commandline.cpp.
CommandResult runDomain(const CommandContext& context);
CommandResult runHost(const CommandContext& context);
CommandResult runStatus(const CommandContext& context);
CommandResult runDump(const CommandContext& context);

// Reads ADDRESS:PORT, with brackets around an address of version 6. Throws CommandError.
HttpClientOptions parseEndpoint(const std::string& text);

}
