#pragma once

namespace Apricot {

// Severity of a log line. A program writes lines of its configured level and above.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

}
