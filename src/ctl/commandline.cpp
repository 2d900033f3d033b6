#include "ctl/commandline.h"

#include "ctl/cataloguecommands.h"
#include "ctl/poisoncommands.h"
#include "ctl/servicecommands.h"
#include "ctl/settingscommand.h"

#include <algorithm>
#include <limits>
#include <sstream>

namespace Apricot {

namespace {

    constexpr std::size_t unlimitedArguments = std::numeric_limits<std::size_t>::max();
    constexpr std::size_t nameColumnWidth = 34;

    constexpr std::string_view exitCodesHelp = R"(Exit codes:
  0  done
  1  the platform or a daemon could not be reached, or the outcome of a write is not known
  2  the command line or a file is not valid; nothing was written
  3  conflict: another operator changed the object; this change was not written
  4  no such object
  5  diff found a difference, or status found a host that lags or reports an invalid object
)";

    constexpr std::string_view globalOptionsHelp = R"(Options:
  --platform ADDRESS:PORT  the platform's object API (default 127.0.0.1:9000)
  --output text|json       form of the output (default text)
  --operator NAME          name stored with each change, so that others see who made it
                           (default: the login name)
)";

    const Command* findCommand(std::string_view name)
    {
        const auto found = std::find_if(commands().begin(), commands().end(),
            [name](const Command& command) { return command.name == name; });
        return found == commands().end() ? nullptr : &*found;
    }

    std::string usageText(const Command& command)
    {
        std::string text = "apricotctl " + std::string(command.name);
        if (!command.arguments.empty())
            text += " " + std::string(command.arguments);
        return text;
    }

    CommandResult runHelp(const CommandContext& context)
    {
        const std::string text
            = context.arguments.empty() ? helpText() : helpText(context.arguments.front());
        return { ExitCode::Done, { { "help", text } }, text };
    }

    std::vector<Command> makeCommands()
    {
        return {
            { "validate", "FILE...", "check catalogue files without a platform",
                "Checks every object of the files as the daemons do and lists all faulty files.\n"
                "Warns of a stage whose pool has no server in the files, and of an owner whose pipelines\n"
                "have different limits.",
                "apricotctl validate examples/tabaq-rahma/*.json", 1, unlimitedArguments,
                &runValidate },
            { "apply", "FILE...", "write the objects of catalogue files",
                "Checks all files first. Then writes each object that differs from the stored one, by\n"
                "conditional update. An object with a \"version\" (as get prints it) is written only\n"
                "if that is still the stored version; one without is based on the version stored when\n"
                "the command read it. A conflict names both versions and who made the other change,\n"
                "and ends the command; objects before it in the files have been written.",
                "apricotctl apply sheets.json", 1, unlimitedArguments, &runApply },
            { "get", "KIND NAME", "print an object in the form of a catalogue file",
                "KIND is pipeline, server, domain or host. The output has the object's version, so\n"
                "that it can be edited and applied without undoing another operator's change.",
                "apricotctl get pipeline round-sheets > sheets.json", 2, 2, &runGet },
            { "list", "[KIND]", "list objects with version and author",
                "Lists all objects that operators write, or those of one kind.",
                "apricotctl list server", 0, 1, &runList },
            { "diff", "FILE...", "show what apply would change",
                "Compares the files with the stored objects. Stored objects that are in no file are not\n"
                "shown.",
                "apricotctl diff examples/tabaq-rahma/*.json", 1, unlimitedArguments, &runDiff },
            { "delete", "KIND NAME [VERSION]", "delete an object",
                "Deletes the current version, or only the given one.",
                "apricotctl delete server generator-3", 2, 3, &runDelete },
            { "domain", "out|in NAME", "take a failure domain out of service, or back in",
                "After out, the domain receives no new work within a few seconds; work in flight\n"
                "finishes. After in, load returns only as fast as cold servers can handle it.",
                "apricotctl domain out zone-b", 2, 2, &runDomain },
            { "host", "out|in NAME", "take a host out of service, or back in",
                "Like domain, for one host.", "apricotctl host out rack4-07", 2, 2, &runHost },
            { "status", "", "show which hosts have which version in force",
                "Compares the version that each host reports with the newest object. A host that\n"
                "lags, or that reports an invalid object, makes the exit code 5.",
                "apricotctl status", 0, 0, &runStatus },
            { "poisoned", "", "list requests that crash servers",
                "Lists each request during which servers ended, with its state (none, suspect or refused)\n"
                "and the servers that count against it. The gateways refuse a request after three servers,\n"
                "for ten minutes. The identity of a request is in the gateways' logs.",
                "apricotctl poisoned", 0, 0, &runPoisoned },
            { "poisoned-clear", "IDENTITY", "serve a refused request again",
                "Clears the crashes that count against a request now; further ones count again.",
                "apricotctl poisoned-clear 6eaa0dc24adefda9", 1, 1, &runPoisonedClear },
            { "dump", "ADDRESS:PORT", "print the state dump of a process",
                "Asks the control endpoint of a daemon, [control] in its settings.",
                "apricotctl dump 10.0.0.7:7071", 1, 1, &runDump },
            { "settings", "entry|dispatch", "print the reference of a daemon's settings",
                "Prints Markdown, as in docs/OPERATORS.md.", "apricotctl settings dispatch", 1, 1,
                &runSettings },
            { "help", "[COMMAND]", "print help", "Prints help for the tool or for one command.",
                "apricotctl help apply", 0, 1, &runHelp },
        };
    }

}

const std::vector<Command>& commands()
{
    static const std::vector<Command> all = makeCommands();
    return all;
}

std::string helpText()
{
    std::ostringstream text;
    text << "apricotctl edits the catalogue and takes failure domains and hosts in and out.\n\n"
         << "Commands:\n";
    for (const Command& command : commands()) {
        std::string name = std::string(command.name) + " " + std::string(command.arguments);
        name.resize(std::max(name.size(), nameColumnWidth), ' ');
        text << "  " << name << command.summary << "\n";
    }
    text << "\n"
         << globalOptionsHelp << "\n"
         << exitCodesHelp;
    return text.str();
}

std::string helpText(std::string_view name)
{
    const Command* command = findCommand(name);
    if (command == nullptr) {
        throw CommandError(
            ExitCode::Invalid, "unknown command " + std::string(name) + "\n\n" + helpText());
    }
    return usageText(*command) + "\n\n" + std::string(command->details) + "\n\nExample:\n  "
        + std::string(command->example) + "\n";
}

CommandResult runCommand(const std::vector<std::string>& words, CommandContext context)
{
    if (words.empty())
        throw CommandError(ExitCode::Invalid, helpText());
    const Command* command = findCommand(words.front());
    if (command == nullptr)
        throw CommandError(ExitCode::Invalid, "unknown command " + words.front());
    context.arguments.assign(std::next(words.begin()), words.end());
    const std::size_t argumentCount = context.arguments.size();
    if (argumentCount < command->minArguments || argumentCount > command->maxArguments)
        throw CommandError(ExitCode::Invalid, "usage: " + usageText(*command));
    return command->run(context);
}

}
