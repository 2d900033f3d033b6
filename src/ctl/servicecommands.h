#pragma once

#include "ctl/commandline.h"

namespace Apricot {

// Commands for service states and running processes. Their help is in commandline.cpp.
CommandResult runDomain(const CommandContext& context);
CommandResult runHost(const CommandContext& context);
CommandResult runStatus(const CommandContext& context);
CommandResult runDump(const CommandContext& context);

// Parses ADDRESS:PORT; an IPv6 address may be in brackets. Throws CommandError.
HttpClientOptions parseEndpoint(const std::string& text);

}
