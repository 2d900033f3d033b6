#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/decay.h"
#include "libapricot/stagecall.h"

#include <map>
#include <vector>

namespace Apricot {

struct OutlierOptions {
    // A server this many times slower for a token than the median of its pool is ejected.
    double slownessFactor = 3;
    // Consecutive failures after which a server is ejected.
    int failuresInRow = 4;
    int minimumSamples = 4;
    // First ejection; each one in a row lasts as much longer.
    Milliseconds ejection { 3000 };
    Milliseconds longestEjection { 30000 };
    // Share of a pool's servers that stay in whatever their results.
    double floor = 0.5;
};

// Takes stragglers and failing servers out of the choice for a while. A floor of servers stays in,
// so that a fault that meets the whole pool ejects none of its last ones.
class OutlierDetector {
public:
    explicit OutlierDetector(OutlierOptions options = {});

    void recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now);
    // The servers of one pool that stay in. Ejects what has become an outlier first.
    std::vector<BackendServerId> keep(const std::vector<BackendServerId>& pool, TimePoint now);
    bool isEjected(const BackendServerId& server, TimePoint now) const;

private:
    struct Record {
        DecayingMean millisecondsPerToken;
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        TimePoint ejectedUntil {};
    };

    double medianPace(const std::vector<BackendServerId>& pool) const;
    bool isOutlier(const Record& record, double median) const;
    void eject(Record& record, TimePoint now) const;

    OutlierOptions m_options;
    std::map<BackendServerId, Record> m_records;
};

}
