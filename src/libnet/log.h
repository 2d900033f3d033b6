#pragma once

#include "libapricot/identifier.h"
#include "libapricot/loglevel.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace Apricot {

struct LogOptions {
    std::string program;
    HostId host;
    LogLevel level = LogLevel::Info;
    // File that lines are appended to; empty for standard output, on which writes never block.
    std::string file;
};

// Starts logging for the whole process. Lines logged earlier are dropped. May be called again to
// change the options.
void startLog(const LogOptions& options);

// Whether a line of this level would be written, for callers whose fields are expensive to collect.
bool isLogged(LogLevel level);

// Writes one JSON line with the time, level, host, program and event, then the fields in their
// order. The event is a fixed name such as "member_removed"; a request's key goes into the field
// "request". May be called on any thread.
void writeLog(LogLevel level, std::string_view event, const boost::json::object& fields = {});

// The line that writeLog() writes, without its line break.
std::string logLine(const LogOptions& options, LogLevel level, std::string_view event,
    const boost::json::object& fields);

}
