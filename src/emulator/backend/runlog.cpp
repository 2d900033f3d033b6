#include "runlog.h"

#include "libapricot/rendezvous.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>
#include <utility>

namespace Apricot {

namespace {

    long long nowMilliseconds()
    {
        return millisecondsBetween(TimePoint {}, RuntimeClock::now());
    }

    const char* runOutcomeName(RunOutcome outcome)
    {
        switch (outcome) {
        case RunOutcome::Running:
            return "running";
        case RunOutcome::Finished:
            return "finished";
        case RunOutcome::Cancelled:
            return "cancelled";
        case RunOutcome::Refused:
            return "refused";
        case RunOutcome::Crashed:
            return "crashed";
        }
        return "unknown";
    }

    boost::json::value recordJson(const RunRecord& record)
    {
        return boost::json::object { { "run", record.run }, { "attempt", record.attempt },
            { "stage", record.stage }, { "input_hash", std::to_string(record.inputHash) },
            { "started_ms", record.startedMs }, { "ended_ms", record.endedMs },
            { "end", runOutcomeName(record.outcome) } };
    }

}

RunLog::RunLog(const std::string& fileName)
{
    if (fileName.empty())
        return;
    m_file.open(fileName, std::ios::app);
    if (!m_file)
        throw std::runtime_error("can't open the log file " + fileName);
}

std::uint64_t RunLog::beginRun(std::string attempt, std::string stage, const std::string& input)
{
    const std::uint64_t run = m_records.size();
    m_records.push_back({ .run = run,
        .attempt = std::move(attempt),
        .stage = std::move(stage),
        .inputHash = stableHash(input),
        .startedMs = nowMilliseconds() });
    appendLine(recordJson(m_records.back()));
    return run;
}

void RunLog::endRun(std::uint64_t run, RunOutcome outcome)
{
    RunRecord& record = m_records.at(run);
    if (record.outcome != RunOutcome::Running)
        return;
    record.outcome = outcome;
    record.endedMs = nowMilliseconds();
    appendLine(recordJson(record));
}

void RunLog::endAllRuns(RunOutcome outcome)
{
    for (std::uint64_t run = 0; run < m_records.size(); ++run)
        this->endRun(run, outcome);
}

void RunLog::recordEvent(boost::json::object event)
{
    event["at_ms"] = nowMilliseconds();
    appendLine(event);
}

boost::json::value RunLog::toJson() const
{
    boost::json::array runs;
    runs.reserve(m_records.size());
    for (const RunRecord& record : m_records)
        runs.push_back(recordJson(record));
    return runs;
}

void RunLog::appendLine(const boost::json::value& line)
{
    if (m_file.is_open())
        m_file << boost::json::serialize(line) << '\n'
               << std::flush;
}

}
