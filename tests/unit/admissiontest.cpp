#include "property.h"

#include "libapricot/admission.h"
#include "libapricot/costaccount.h"
#include "libapricot/retrybudget.h"
#include "libapricot/slackqueue.h"

using namespace Apricot;

namespace {

CatalogueEntry makeEntry(ServiceClass serviceClass = ServiceClass::Standard)
{
    return { .name = PipelineId("sheets"),
        .owner = OwnerId("meals"),
        .serviceClass = serviceClass,
        .stages = { { .name = "encode", .pool = PoolId("encoders") },
            { .name = "generate", .pool = PoolId("generators") } } };
}

void recordSamples(LatencyModel& model, const CatalogueEntry& entry, Duration serviceTime, Duration queueTime,
    TimePoint now)
{
    for (const StageSpec& stage : entry.stages) {
        for (int sample = 0; sample < 40; ++sample) {
            model.recordService(stage, serviceTime, now);
            model.recordQueue(stage, entry.serviceClass, queueTime, now);
        }
    }
}

}

TEST_GROUP(Admission)
{
    TimePoint m_now { std::chrono::seconds(1000) };
    CatalogueEntry m_entry = makeEntry();
    LatencyModel m_model;
    Admission m_admission { m_model };

    std::optional<Refusal> refusalFor(Milliseconds deadline, double utilisation = 0)
    {
        return m_admission.check(
            { .entry = m_entry, .deadline = m_now + deadline, .utilisation = utilisation }, m_now);
    }
};

TEST(Admission, quantileLiesNearTheSamples)
{
    checkProperty("the quantile is within one histogram bin of the sample", [this](std::uint16_t sample) {
        const Milliseconds value(1 + sample);
        LatencyHistogram histogram { Duration(Milliseconds(1000)) };
        for (int count = 0; count < 10; ++count)
            histogram.record(value, m_now);
        const double ratio = std::chrono::duration<double>(histogram.quantile(0.95, m_now))
            / std::chrono::duration<double>(value);
        RC_ASSERT(ratio > 0.75 && ratio < 1.3);
    });
}

TEST(Admission, admitsPipelinesWithoutLatencySamples) { CHECK_FALSE(refusalFor(Milliseconds(100)).has_value()); }

TEST(Admission, refusesAnUnreachableDeadlineWithoutRetryTime)
{
    recordSamples(m_model, m_entry, Milliseconds(200), {}, m_now);
    const auto refusal = refusalFor(Milliseconds(300));
    CHECK_TRUE(refusal && refusal->reason == RefusalReason::DeadlineUnreachable);
    CHECK_TRUE(refusal && refusal->retryAfter == Milliseconds(0));
    CHECK_FALSE(refusalFor(Milliseconds(700)).has_value());
}

TEST(Admission, refusesLongQueuesWithARetryTime)
{
    recordSamples(m_model, m_entry, Milliseconds(50), Milliseconds(400), m_now);
    const auto refusal = refusalFor(Milliseconds(500), 1.1);
    CHECK_TRUE(refusal && refusal->reason == RefusalReason::Overloaded);
    CHECK_TRUE(refusal && refusal->retryAfter > Milliseconds(0));
    CHECK_TRUE(refusal && refusal->ran == RanState::NotRun);
    // Recorded queue times are ignored while servers have free capacity, and they decay with time.
    CHECK_FALSE(refusalFor(Milliseconds(500), 0.9).has_value());
    m_now += std::chrono::seconds(5);
    CHECK_FALSE(refusalFor(Milliseconds(500), 1.1).has_value());
}

TEST(Admission, admitsAProbeWhenEveryRequestLooksInfeasible)
{
    recordSamples(m_model, m_entry, Milliseconds(200), {}, m_now);
    CHECK_TRUE(refusalFor(Milliseconds(300)).has_value());
    m_now += Milliseconds(600);
    CHECK_FALSE(refusalFor(Milliseconds(300)).has_value());
    CHECK_TRUE(refusalFor(Milliseconds(300)).has_value());
}

TEST(Admission, refusesTheLessUrgentClassFirst)
{
    recordSamples(m_model, m_entry, Milliseconds(100), {}, m_now);
    const auto isRefused = [this](ServiceClass serviceClass, double utilisation) {
        m_entry = makeEntry(serviceClass);
        return refusalFor(Milliseconds(1000), utilisation).has_value();
    };
    for (const ServiceClass serviceClass :
        { ServiceClass::Urgent, ServiceClass::Standard, ServiceClass::Bulk }) {
        CHECK_FALSE(isRefused(serviceClass, 1));
        CHECK_FALSE(isRefused(serviceClass, 1.5));
        CHECK_TRUE(isRefused(serviceClass, 5));
    }
    CHECK_TRUE(isRefused(ServiceClass::Bulk, 2.5));
    CHECK_FALSE(isRefused(ServiceClass::Standard, 2.5));
    CHECK_TRUE(isRefused(ServiceClass::Standard, 3.2));
    CHECK_FALSE(isRefused(ServiceClass::Urgent, 3.2));
}

TEST(Admission, reservesTimeForLaterStages)
{
    recordSamples(m_model, m_entry, Milliseconds(200), {}, m_now);
    const TimePoint deadline = m_now + Milliseconds(1000);
    const Milliseconds budget = m_admission.stageBudget(m_entry, 0, deadline, m_now);
    CHECK_TRUE(budget > Milliseconds(700) && budget < Milliseconds(900));
    CHECK_TRUE(m_admission.stageBudget(m_entry, 1, deadline, m_now) == Milliseconds(1000));
    CHECK_TRUE(m_admission.latestStart(m_entry, 0, deadline, m_now) < deadline - Milliseconds(300));
}

TEST(Admission, ordersByClassAndSlackAndDropsInfeasibleRequests)
{
    checkProperty("requests leave the queue by class and slack, infeasible ones first", [this](const std::vector<std::pair<bool, std::uint8_t>>& waiting) {
        SlackQueue queue;
        int nextKey = 0;
        for (const auto& [isUrgent, slack] : waiting)
            queue.push({ .serviceClass = isUrgent ? ServiceClass::Urgent : ServiceClass::Bulk,
                .latestStart = m_now + Milliseconds(slack),
                .key = RequestKey(std::to_string(nextKey++)) });
        const TimePoint later = m_now + Milliseconds(100);
        std::size_t drainedCount = 0;
        for (const WaitingRequest& infeasible : queue.drainInfeasible(later)) {
            RC_ASSERT(infeasible.latestStart < later);
            ++drainedCount;
        }
        std::optional<WaitingRequest> previous;
        while (const auto next = queue.pop()) {
            RC_ASSERT(next->latestStart >= later);
            RC_ASSERT(!previous || *previous < *next);
            previous = next;
            ++drainedCount;
        }
        RC_ASSERT(drainedCount == waiting.size());
    });
}

TEST(Admission, retriesStayWithinAShareOfFirstAttempts)
{
    checkProperty("retries stay within the budget of the first attempts", [](const std::vector<bool>& attempts) {
        const RetryBudgetOptions options { .ratio = 0.1, .maxAvailable = 3 };
        RetryBudget budget(options);
        const StageSpec stage;
        int firstAttempts = 0;
        int acquiredRetries = 0;
        for (const bool isFirstAttempt : attempts) {
            if (isFirstAttempt) {
                budget.recordFirstAttempt();
                ++firstAttempts;
            } else {
                acquiredRetries += budget.tryAcquireRetry(stage, true) ? 1 : 0;
            }
        }
        RC_ASSERT(acquiredRetries <= options.maxAvailable + options.ratio * firstAttempts);
    });
}

TEST(Admission, neverRerunsAStageThatIsNotIdempotent)
{
    RetryBudget budget;
    const StageSpec charge { .name = "charge", .idempotent = false };
    CHECK_FALSE(budget.tryAcquireRetry(charge, true));
    CHECK_TRUE(budget.tryAcquireRetry(charge, false));
    CHECK_FALSE(budget.tryAcquireHedge(charge, Milliseconds(500), Milliseconds(100), 0));
    const StageSpec encode;
    CHECK_TRUE(budget.tryAcquireHedge(encode, Milliseconds(500), Milliseconds(100), 0.1));
    CHECK_FALSE(budget.tryAcquireHedge(encode, Milliseconds(50), Milliseconds(100), 0.1));
    CHECK_FALSE(budget.tryAcquireHedge(encode, Milliseconds(500), Milliseconds(100), 0.9));
}

TEST(Admission, accountsUsedAndWastedWorkSeparately)
{
    CostAccount account;
    StageOutcome outcome { .sent = true, .tokens = 5, .busy = Milliseconds(30) };
    outcome.attempt.stage = 1;
    account.record(m_entry, outcome, true);
    account.record(m_entry, outcome, false);
    const CostTotal expected {
        .busy = Milliseconds(30), .wasted = Milliseconds(30), .tokens = 10, .attempts = 2
    };
    CHECK_TRUE(account.byStage().at({ m_entry.name, "generate" }) == expected);
    CHECK_TRUE(account.byOwner().at(m_entry.owner) == expected);
    account.discard(m_entry, { { .stage = "generate", .busy = Milliseconds(30) } });
    CHECK_TRUE(account.byOwner().at(m_entry.owner).wasted == Milliseconds(60));
}

TEST(Admission, ignoresQueuesOfLessUrgentClasses)
{
    const CatalogueEntry bulk = makeEntry(ServiceClass::Bulk);
    recordSamples(m_model, bulk, Milliseconds(50), Milliseconds(800), m_now);
    m_entry = bulk;
    CHECK_TRUE(refusalFor(Milliseconds(1000), 1.1).has_value());
    m_entry = makeEntry(ServiceClass::Urgent);
    CHECK_FALSE(refusalFor(Milliseconds(1000), 1.1).has_value());
}
