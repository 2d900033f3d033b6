#pragma once

#include "ctl/commandresult.h"
#include "ctl/platformstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Input of a command.
struct CommandContext {
    PlatformClientOptions platform;
    ChangeAuthor author;
    // Words of the command line after the command's name.
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
    // Range of the number of arguments.
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    CommandResult (*run)(const CommandContext&) = nullptr;
};

// All commands, in the order in which the help lists them.
const std::vector<Command>& commands();

// Returns the help of the tool or of one command. Throws CommandError for an unknown command.
std::string helpText();
std::string helpText(std::string_view name);

// Runs the command named by the first word. Throws CommandError.
CommandResult runCommand(const std::vector<std::string>& words, CommandContext context);

}
