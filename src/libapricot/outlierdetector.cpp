#include "libapricot/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

OutlierDetector::OutlierDetector(OutlierOptions options)
    : m_options(options)
{
}

void OutlierDetector::recordOutcome(
    const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
{
    Record& record = m_records[server];
    switch (outcome.end) {
    case StageEnd::Finished: {
        const auto tokens = static_cast<double>(std::max<std::uint64_t>(1, outcome.tokens));
        record.millisecondsPerToken.add(static_cast<double>(outcome.busy.count()) / tokens);
        record.failuresInRow = 0;
        break;
    }
    case StageEnd::Failed:
    case StageEnd::Crashed:
    case StageEnd::TimedOut:
        if (now >= record.ejectedUntil)
            ++record.failuresInRow;
        break;
    case StageEnd::Rejected:
    case StageEnd::Cancelled:
        break;
    }
}

std::vector<BackendServerId> OutlierDetector::keep(
    const std::vector<BackendServerId>& pool, TimePoint now)
{
    const auto ejectedNow = static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(),
        [this, now](const BackendServerId& server) { return isEjected(server, now); }));
    const auto floor = static_cast<std::size_t>(
        std::ceil(m_options.floor * static_cast<double>(pool.size())));
    std::size_t kept = pool.size() - ejectedNow;
    const double median = medianPace(pool);
    std::vector<BackendServerId> result;
    result.reserve(kept);
    for (const BackendServerId& server : pool) {
        Record& record = m_records[server];
        if (now < record.ejectedUntil)
            continue;
        if (kept > floor && isOutlier(record, median)) {
            eject(record, now);
            --kept;
            continue;
        }
        result.push_back(server);
    }
    // Servers that left the pool's list meanwhile can leave only ejected ones in it.
    return result.size() < floor ? pool : result;
}

bool OutlierDetector::isEjected(const BackendServerId& server, TimePoint now) const
{
    const auto found = m_records.find(server);
    return found != m_records.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::medianPace(const std::vector<BackendServerId>& pool) const
{
    std::vector<double> paces;
    for (const BackendServerId& server : pool) {
        const auto found = m_records.find(server);
        if (found != m_records.end() && found->second.millisecondsPerToken.samples() > 0)
            paces.push_back(found->second.millisecondsPerToken.value());
    }
    if (paces.size() < 2)
        return 0;
    // With an even number the lower one, so that one straggler of two is seen.
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

bool OutlierDetector::isOutlier(const Record& record, double median) const
{
    if (record.failuresInRow >= m_options.failuresInRow)
        return true;
    return median > 0 && record.millisecondsPerToken.samples() >= m_options.minimumSamples
        && record.millisecondsPerToken.value() > m_options.slownessFactor * median;
}

void OutlierDetector::eject(Record& record, TimePoint now) const
{
    ++record.ejectionsInRow;
    const Milliseconds length = m_options.ejection * record.ejectionsInRow;
    record.ejectedUntil = now + std::min(length, m_options.longestEjection);
    // What it did before the ejection doesn't condemn it again when it comes back.
    record.failuresInRow = 0;
    record.millisecondsPerToken = {};
}

}
