#include "libapricot/crashattribution.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Apricot {

namespace {

    std::size_t countCommon(const std::set<ServerCrash>& left, const std::set<ServerCrash>& right)
    {
        return static_cast<std::size_t>(std::count_if(
            left.begin(), left.end(), [&right](const ServerCrash& crash) { return right.contains(crash); }));
    }

    // Crashes that neither the explained ones nor one refused request account for.
    std::size_t countUnexplained(const std::set<ServerCrash>& crashes, const std::set<ServerCrash>& explained,
        const std::vector<std::set<ServerCrash>>& refusedRequests)
    {
        std::set<ServerCrash> rest;
        std::set_difference(crashes.begin(), crashes.end(), explained.begin(), explained.end(),
            std::inserter(rest, rest.end()));
        std::size_t common = 0;
        for (const std::set<ServerCrash>& request : refusedRequests)
            common = std::max(common, countCommon(rest, request));
        return rest.size() - common;
    }

}

std::map<Fingerprint, std::size_t> attributeCrashes(std::vector<CrashSuspect> suspects,
    const std::vector<std::set<ServerCrash>>& refusedRequests, CrashAttributionOptions options)
{
    std::map<Fingerprint, std::size_t> attributed;
    std::set<ServerCrash> explained;
    for (const CrashSuspect& suspect : suspects) {
        if (!suspect.isRefused)
            continue;
        attributed[suspect.fingerprint] = suspect.crashes.size();
        explained.insert(suspect.crashes.begin(), suspect.crashes.end());
    }
    std::erase_if(suspects, [](const CrashSuspect& suspect) { return suspect.isRefused; });
    for (int round = 0; !suspects.empty(); ++round) {
        std::size_t mostCrashes = 0;
        for (const CrashSuspect& suspect : suspects) {
            const std::size_t count = countUnexplained(suspect.crashes, explained, refusedRequests);
            attributed[suspect.fingerprint] = count;
            mostCrashes = std::max(mostCrashes, count);
        }
        if (mostCrashes < options.minCrashes || round == options.maxRounds)
            break;
        const auto isFirst = [&](const CrashSuspect& suspect) {
            const std::size_t count = attributed.at(suspect.fingerprint);
            return count >= options.minCrashes && count + options.countTolerance >= mostCrashes;
        };
        std::optional<TimePoint> oldestFinish = TimePoint::max();
        for (const CrashSuspect& suspect : suspects) {
            if (isFirst(suspect))
                oldestFinish = std::min(oldestFinish, suspect.finishedAt);
        }
        const auto rest = std::partition(suspects.begin(), suspects.end(),
            [&](const CrashSuspect& suspect) { return !isFirst(suspect) || suspect.finishedAt != oldestFinish; });
        for (auto suspect = rest; suspect != suspects.end(); ++suspect)
            explained.insert(suspect->crashes.begin(), suspect->crashes.end());
        suspects.erase(rest, suspects.end());
    }
    return attributed;
}

}
