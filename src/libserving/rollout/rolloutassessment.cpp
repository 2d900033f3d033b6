#include "libserving/rollout/rolloutassessment.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace Apricot {

namespace {

    // Bounds of the Wilson score interval of a share.
    struct ShareBounds {
        double low = 0;
        double high = 1;
    };

    ShareBounds boundsOf(double count, double total, double errors)
    {
        if (total <= 0)
            return {};
        const double share = count / total;
        const double square = errors * errors;
        const double center = (share + square / (2 * total)) / (1 + square / total);
        const double half = errors * std::sqrt(share * (1 - share) / total + square / (4 * total * total))
            / (1 + square / total);
        return { std::max(center - half, 0.0), std::min(center + half, 1.0) };
    }

    // Number of successful answers in the buckets from one on.
    double slowerFrom(const AnswerCounts& counts, std::size_t bucket)
    {
        const auto from = counts.durations.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, AnswerCounts::durationBuckets));
        return std::accumulate(from, counts.durations.end(), 0.0);
    }

    // The first bucket whose answers are slower than a share of all.
    std::size_t slowBucket(const AnswerCounts& counts, double fastShare)
    {
        const double total = slowerFrom(counts, 0);
        std::size_t bucket = 0;
        while (bucket < AnswerCounts::durationBuckets && slowerFrom(counts, bucket) > (1 - fastShare) * total)
            ++bucket;
        return bucket;
    }

    bool fails(const RouteEvidence& evidence, const RolloutAssessmentOptions& options)
    {
        const AnswerCounts& target = evidence.target;
        if (target.failures < options.minFailures || std::popcount(target.failedServers) < options.minFailedServers)
            return false;
        const ShareBounds targetShare = boundsOf(target.failures, target.answers, options.targetErrors);
        const AnswerCounts& replaced = evidence.replaced;
        const double expected = replaced.answers == 0
            ? 0
            : boundsOf(replaced.failures, replaced.answers, options.replacedErrors).high;
        return targetShare.low > expected + options.failureMargin;
    }

    bool isSlow(const RouteEvidence& evidence, const RolloutAssessmentOptions& options)
    {
        const double targets = slowerFrom(evidence.target, 0);
        const double replaced = slowerFrom(evidence.replaced, 0);
        if (targets < options.minDurations || replaced < options.minDurations)
            return false;
        const std::size_t bucket = slowBucket(evidence.replaced, options.fastShare) + options.slowBuckets;
        const double expected
            = boundsOf(slowerFrom(evidence.replaced, bucket), replaced, options.replacedErrors).high;
        return boundsOf(slowerFrom(evidence.target, bucket), targets, options.targetErrors).low
            > 2 * expected + options.slowMargin;
    }

    std::string describe(const AnswerCounts& counts)
    {
        return std::to_string(counts.failures) + " of " + std::to_string(counts.answers);
    }

    std::optional<std::string> findFault(
        const std::string& name, const RouteEvidence& evidence, const RolloutAssessmentOptions& options)
    {
        if (fails(evidence, options))
            return "failures on " + name + ": " + describe(evidence.target) + " answers, "
                + describe(evidence.replaced) + " at replaced versions";
        if (isSlow(evidence, options))
            return "slow answers on " + name + " beside those of replaced versions, of "
                + std::to_string(evidence.target.successes());
        return std::nullopt;
    }

}

std::optional<std::string> findRolloutFault(
    const RolloutEvidence& evidence, const RolloutAssessmentOptions& options)
{
    for (const auto& [name, route] : evidence.routes()) {
        if (auto fault = findFault(name, route, options))
            return fault;
    }
    // Durations of different routes do not compare, but failures do.
    const RouteEvidence total = evidence.total();
    if (fails(total, options))
        return findFault("all routes", total, options);
    return std::nullopt;
}

}
