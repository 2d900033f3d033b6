#pragma once

#include "ctl/commandresult.h"
#include "ctl/platformstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// What a command is run with.
struct CommandContext {
    PlatformClientOptions platform;
    ChangeAuthor author;
    // Words after the command's name.
    std::vector<std::string> arguments;

    PlatformStore store() const { return { platform, author }; }
};

// One command of the tool with its help.
struct Command {
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::string_view details;
    std::string_view example;
    // Number of arguments that it takes.
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    CommandResult (*run)(const CommandContext&) = nullptr;
};

// Every command, in the order of the help.
const std::vector<Command>& commands();

// Help for the whole tool, or for one command. Throws CommandError for a name that is none.
std::string helpText();
std::string helpText(std::string_view name);

// Runs the command that the first word names. Throws CommandError.
CommandResult runCommand(const std::vector<std::string>& words, CommandContext context);

}
