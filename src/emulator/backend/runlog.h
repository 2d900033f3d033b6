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

// One run that the engine began, for checks of "at most once" and "not run".
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

// Every run since the start of the process. Each change is also appended to a file as a JSON line
// before the run goes on, so that the record outlives a crash.
class RunLog {
public:
    // An empty file name keeps the log in memory only.
    explicit RunLog(const std::string& fileName);

    // Notes that a run began, and gives its number.
    std::uint64_t beginRun(std::string attempt, std::string stage, const std::string& input);
    void endRun(std::uint64_t run, RunOutcome outcome);
    // Notes that everything that still ran was lost.
    void endAllRuns(RunOutcome outcome);
    // Appends an event that belongs to no run, such as a fault.
    void recordEvent(boost::json::object event);
    boost::json::value toJson() const;

private:
    void appendLine(const boost::json::value& line);

    std::vector<RunRecord> m_records;
    std::ofstream m_file;
};

}
