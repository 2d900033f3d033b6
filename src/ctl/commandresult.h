#pragma once

#include "ctl/exitcode.h"

#include <boost/json/value.hpp>

#include <stdexcept>
#include <string>

namespace Apricot {

// Result of a command, as JSON and as text.
struct CommandResult {
    ExitCode code = ExitCode::Done;
    boost::json::value json;
    std::string text;
};

// Ends a command with a message and an exit code.
class CommandError : public std::runtime_error {
public:
    CommandError(ExitCode code, const std::string& what)
        : std::runtime_error(what)
        , m_code(code)
    {
    }

    ExitCode code() const { return m_code; }

private:
    ExitCode m_code;
};

}
