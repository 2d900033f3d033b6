#pragma once

#include "libapricot/clock.h"
#include "libapricot/servercrash.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

// A part of a prompt that was in flight on servers that ended.
struct CrashSuspect {
    Fingerprint fingerprint = 0;
    // Crashes since a run with the part last finished on any host.
    std::set<ServerCrash> crashes;
    // When a run with the part last finished on this host; not set if none did.
    std::optional<TimePoint> finishedAt;
    // Whether crashes were attributed to the part before, so that it is refused.
    bool isRefused = false;
};

struct CrashAttributionOptions {
    // Parts with fewer crashes explain none.
    std::size_t minCrashes = 2;
    // Counts that differ by no more are equal: hosts report one crash at slightly different times.
    std::size_t countTolerance = 1;
    // Rounds after which the crashes of the remaining parts count in full.
    int maxRounds = 16;
};

// Number of crashes that are attributed to each part. The parts of one prompt crash together, and a popular part is
// in flight on most servers, so a crash is attributed to one of its parts, if possible: to one that is refused,
// otherwise to one with most crashes, and among those to the one that has not finished for the longest time. Parts
// that cannot be told apart get all of their crashes. One refused request explains its crashes too, but several with
// the same part do not: they point at the part.
std::map<Fingerprint, std::size_t> attributeCrashes(std::vector<CrashSuspect> suspects,
    const std::vector<std::set<ServerCrash>>& refusedRequests, CrashAttributionOptions options = {});

}
