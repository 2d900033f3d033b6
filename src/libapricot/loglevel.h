#pragma once

namespace Apricot {

// Weight of a log line. A program writes lines of its own level and above.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

}
