#include "ctl/commandline.h"
#include "ctl/jsontext.h"
#include "ctl/servicecommands.h"
#include "libapricot/namecheck.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(platform, "127.0.0.1:9000", "ADDRESS:PORT of the platform's object API");
DEFINE_string(output, "text", "form of the output: text or json");
DEFINE_string(operator, "", "name stored with each change; empty for the login name");

namespace {

using namespace Apricot;

std::string authorName()
{
    const char* login = std::getenv("USER");
    const std::string name = !FLAGS_operator.empty() ? FLAGS_operator : login != nullptr ? login
                                                                                         : "";
    return isValidName(name) ? name : "unknown";
}

CommandContext makeContext()
{
    const HttpClientOptions endpoint = parseEndpoint(FLAGS_platform);
    return { .platform = { .address = endpoint.address, .port = endpoint.port, .host = HostId("apricotctl") },
        .author = { authorName() } };
}

void printResult(const CommandResult& result)
{
    if (FLAGS_output == "json")
        std::cout << prettyJson(result.json) << "\n";
    else
        std::cout << result.text;
}

// Prints an error to standard error in the chosen output format and returns the exit status.
int printError(ExitCode code, const std::string& what)
{
    const int status = static_cast<int>(code);
    if (FLAGS_output == "json")
        std::cerr << prettyJson({ { "error", what }, { "exit_code", status } }) << "\n";
    else
        std::cerr << what << "\n";
    return status;
}

int run(const std::vector<std::string>& words)
{
    try {
        if (FLAGS_output != "text" && FLAGS_output != "json")
            throw CommandError(ExitCode::Invalid, "--output must be text or json");
        const CommandResult result = runCommand(words, makeContext());
        printResult(result);
        return static_cast<int>(result.code);
    } catch (const CommandError& error) {
        return printError(error.code(), error.what());
    } catch (const std::exception& error) {
        return printError(ExitCode::Failed, error.what());
    }
}

// Whether --help was given. The tool prints its own help instead of that of gflags.
bool isHelpRequested()
{
    gflags::CommandLineFlagInfo help;
    return gflags::GetCommandLineFlagInfo("help", &help) && help.current_value == "true";
}

}

int main(int argc, char** argv)
{
    gflags::SetVersionString(APRICOT_VERSION);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::vector<std::string> words(argv + 1, argv + argc);
    if (isHelpRequested())
        words.insert(words.begin(), "help");
    return run(words);
}
