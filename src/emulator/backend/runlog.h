#pragma once

#include "libapricot/clock.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace Apricot {

enum class RunOutcome {
    Running,
    Finished,
    Cancelled,
    Refused,
    Crashed,
};

// Run that the emulator received. Tests use the records to verify that an attempt ran at most once or
// not at all.
struct RunRecord {
    std::uint64_t run = 0;
    std::string attempt;
    std::string stage;
    std::uint64_t inputHash = 0;
    long long startedMs = 0;
    long long endedMs = 0;
    RunOutcome outcome = RunOutcome::Running;

    auto operator<=>(const RunRecord&) const = default;
};

// Log of all runs since the start of the process. Each change is also appended to a file as a JSON
// line before the run continues, so that the log survives a crash.
class RunLog {
public:
    // An empty file name keeps the log in memory only. Throws std::runtime_error if the file can't be
    // opened.
    explicit RunLog(const std::string& fileName);

    // Records the start of a run and returns its number.
    std::uint64_t beginRun(std::string attempt, std::string stage, const std::string& input);
    void endRun(std::uint64_t run, RunOutcome outcome);
    // Ends all runs that are still running.
    void endAllRuns(RunOutcome outcome);
    // Appends an event that doesn't belong to a run, such as an injected fault. The event gets a
    // timestamp.
    void recordEvent(boost::json::object event);
    boost::json::value toJson() const;

private:
    void appendLine(const boost::json::value& line);

    std::vector<RunRecord> m_records;
    std::ofstream m_file;
};

}
