#include "gateway/stagerunner.h"

#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A group outside the preferred failure domain is used if its wait is shorter by this penalty, in
    // milliseconds. The penalty is proportional to the bytes that cross domains, up to this number.
    constexpr double crossDomainPenaltyMs = 300;
    constexpr double crossDomainPenaltyBytes = 1'000'000;
    // Subtracted from the caller's deadline, so that a refusal reaches the caller in time.
    constexpr Milliseconds responseMargin { 150 };
    // Pieces may run more than once: a stage whose servers failed is retried, possibly at another group.
    constexpr int maxStageAttempts = 2;
    // Final stages with at least this many bytes of results run in the failure domain of the engine that
    // will likely read them.
    constexpr double minBytesNearEngine = 200'000;

    // A final stage that is delayed to end together with the others starts earlier by this margin.
    constexpr double finalStageMarginMs = 40;
    // Passed to StagePlan::timeForOtherStages() to exclude no stage.
    constexpr int noStage = -1;

    // Time of one stage without its wait. Assumes full batches, because under load pieces are sent in
    // full calls.
    double stageMilliseconds(const ServingConfig& config, const StageDefinition& stage, int pieces)
    {
        const Pool* pool = config.findPool(stage.pool);
        if (!pool || !pool->stage || pieces == 0)
            return 0;
        return static_cast<double>(pool->stage->callTime.count())
            + pool->stage->pieceMilliseconds * pool->stage->batchLimit;
    }

}

// The two groups that a stage may run at: one in its preferred failure domain and one anywhere.
struct StageRunner::PickedGroups {
    bool isPicked = false;
    FailureDomainId domain;
    std::array<int, 2> groups {};
};

struct StageRunner::Progress {
    Progress(Asio::io_context& context, ServedRequest& served, Milliseconds engine,
        FailureDomainId domain)
        : request(served)
        , plan(served.route.stages, served.caller.stagePieces)
        , engineTime(engine)
        , engineDomain(std::move(domain))
        , changed(context.get_executor())
    {
    }

    ServedRequest& request;
    StagePlan plan;
    Milliseconds engineTime;
    FailureDomainId engineDomain;
    AsyncEvent changed;
    std::vector<std::shared_ptr<HttpCancel>> calls;
    // Expected end of each stage that has started.
    std::map<int, TimePoint> expectedEnds;
    // Groups that each stage may run at.
    std::map<int, PickedGroups> groups;
    // Timers of the final stages that are delayed.
    std::vector<std::shared_ptr<RuntimeTimer>> finalStageTimers;
    StagesResult stagesResult;
    int running = 0;
    bool hasFinishedStage = false;
};

StageRunner::StageRunner(Asio::io_context& context, StageRouter& router)
    : m_context(context)
    , m_router(router)
{
}

Asio::awaitable<StagesResult> StageRunner::run(
    ServedRequest& request, Milliseconds engineTime, FailureDomainId engineDomain)
{
    auto progress = std::make_shared<Progress>(
        m_context, request, engineTime, std::move(engineDomain));
    if (isInfeasible(*progress, progress->stagesResult.retryAfter)) {
        progress->stagesResult.outcome = StageWorkOutcome::Overloaded;
        co_return std::move(progress->stagesResult);
    }
    startReadyStages(progress);
    while (progress->running > 0)
        co_await progress->changed.wait();
    progress->stagesResult.inputs = progress->plan.finalHandles();
    for (const StageResults& results : progress->stagesResult.results)
        progress->stagesResult.inputBytes[results.domain] += results.bytes;
    co_return std::move(progress->stagesResult);
}

void StageRunner::startReadyStages(const std::shared_ptr<Progress>& progress)
{
    if (progress->request.scope->isOver() || progress->stagesResult.outcome != StageWorkOutcome::Done)
        return;
    for (const int stage : progress->plan.popReadyStages()) {
        ++progress->running;
        Asio::co_spawn(m_context, runStage(progress, stage), Asio::detached);
    }
}

StageWork StageRunner::makeWork(Progress& progress, int stage)
{
    const TimePoint now = RuntimeClock::now();
    const ServedRequest& request = progress.request;
    const StageDefinition& definition = progress.plan.definition(stage);
    progress.expectedEnds.erase(stage);
    std::vector<double> times = remainingTimes(progress);
    progress.expectedEnds[stage] = now + ceilMilliseconds(times.at(stage));
    // The home estimates the wait of this stage itself.
    times.at(stage)
        = stageMilliseconds(*request.config, definition, progress.plan.pieces(stage));
    const Milliseconds remaining
        = progress.engineTime + ceilMilliseconds(progress.plan.criticalPathTime(stage, times));
    const auto timeUntil
        = [now](TimePoint time) { return std::chrono::floor<Milliseconds>(time - now); };
    PreferredLocation location = preferredLocation(progress, stage);
    StageWork work { .pool = definition.pool,
        .group = chooseGroup(progress, stage),
        .requestId = progress.request.caller.id,
        .stage = stage,
        .pieces = progress.plan.pieces(stage),
        .pieceKey = definition.inputs.empty() ? progress.request.caller.pieceKey : "",
        .inputs = progress.plan.inputsOf(stage),
        .rank = request.rank,
        .objectiveSlack = timeUntil(request.objectiveAt - remaining),
        .deadlineSlack = timeUntil(request.firstEventDeadline - remaining - responseMargin),
        .callerTimeLeft = timeUntil(request.firstEventDeadline),
        .resultBytes = definition.resultBytes,
        .preferredDomain = std::move(location.domain),
        .crossDomainBytes = location.crossDomainBytes,
        .isFirst = !progress.hasFinishedStage,
        .fingerprint = request.fingerprint,
        .isProbation = request.isProbation() };
    return work;
}

std::vector<double> StageRunner::remainingTimes(Progress& progress) const
{
    const ServedRequest& request = progress.request;
    const TimePoint now = RuntimeClock::now();
    std::vector<double> milliseconds;
    milliseconds.reserve(request.route.stages.size());
    for (std::size_t index = 0; index < request.route.stages.size(); ++index) {
        const int stage = static_cast<int>(index);
        const StageDefinition& definition = request.route.stages[index];
        const int pieces = progress.plan.pieces(stage);
        double time = stageMilliseconds(*request.config, definition, pieces);
        const auto begun = progress.expectedEnds.find(stage);
        if (progress.plan.isDone(stage)) {
            time = 0;
        } else if (begun != progress.expectedEnds.end()) {
            time = std::max(inMilliseconds(begun->second - now), 0.0);
        } else if (pieces > 0) {
            time += static_cast<double>(
                m_router.expectedWait(definition.pool, chooseGroup(progress, stage), request.rank)
                    .count());
        }
        milliseconds.push_back(time);
    }
    return milliseconds;
}

int StageRunner::chooseGroup(Progress& progress, int stage) const
{
    const ServedRequest& request = progress.request;
    const PoolId& pool = progress.plan.definition(stage).pool;
    const PreferredLocation location = preferredLocation(progress, stage);
    PickedGroups& picked = progress.groups[stage];
    if (!picked.isPicked || picked.domain != location.domain)
        picked = { true, location.domain,
            m_router.pickGroups(pool, request.caller.id, location.domain) };
    const auto [near, other] = picked.groups;
    const double crossDomainShare = std::min(location.crossDomainBytes / crossDomainPenaltyBytes, 1.0);
    const double nearWait
        = static_cast<double>(m_router.expectedWait(pool, near, request.rank).count());
    const double otherWait
        = static_cast<double>(m_router.expectedWait(pool, other, request.rank).count());
    return otherWait + crossDomainShare * crossDomainPenaltyMs < nearWait ? other : near;
}

bool StageRunner::isInfeasible(Progress& progress, Milliseconds& retryAfter) const
{
    const double needed = progress.plan.timeForOtherStages(noStage, remainingTimes(progress));
    const auto left = std::chrono::floor<Milliseconds>(
        progress.request.firstEventDeadline - RuntimeClock::now() - progress.engineTime - responseMargin);
    const Milliseconds excess = ceilMilliseconds(needed) - left;
    retryAfter = std::max(excess, Milliseconds(0));
    if (excess.count() > 0)
        writeLog(LogLevel::Info, "stages_refused",
            { { "request", progress.request.caller.id }, { "rank", progress.request.rank },
                { "needed_ms", std::lround(needed) }, { "left_ms", left.count() } });
    return excess.count() > 0;
}

Asio::awaitable<void> StageRunner::delayFinalStage(std::shared_ptr<Progress> progress, int stage)
{
    const std::shared_ptr<HttpCancel> cancel = progress->request.scope->addCall();
    auto timer = std::make_shared<RuntimeTimer>(m_context);
    progress->finalStageTimers.push_back(timer);
    progress->calls.push_back(cancel);
    cancel->setAction([timer] { timer->cancel(); });
    while (!cancel->isCancelled()) {
        const std::vector<double> left = remainingTimes(*progress);
        const double delay
            = progress->plan.timeForOtherStages(stage, left) - left.at(stage) - finalStageMarginMs;
        if (delay < 1)
            break;
        timer->expires_after(ceilMilliseconds(delay));
        boost::system::error_code ignored;
        co_await timer->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    cancel->setAction(nullptr);
}

StageRunner::PreferredLocation StageRunner::preferredLocation(const Progress& progress, int stage) const
{
    const StageDefinition& definition = progress.plan.definition(stage);
    const int pieces = progress.plan.pieces(stage);
    const double stageBytes = definition.resultBytes * pieces;
    std::map<FailureDomainId, double> bytes;
    if (stageBytes >= minBytesNearEngine && progress.plan.isFinal(stage))
        bytes[progress.engineDomain] += stageBytes;
    for (const StageResults& results : progress.stagesResult.results) {
        // Each piece reads all inputs.
        if (std::find(definition.inputs.begin(), definition.inputs.end(), results.stage)
            != definition.inputs.end())
            bytes[results.domain] += results.bytes * pieces;
    }
    PreferredLocation best;
    for (const auto& [domain, crossBytes] : bytes) {
        if (crossBytes > best.crossDomainBytes && !domain.empty())
            best = { domain, crossBytes };
    }
    return best;
}

void StageRunner::releaseFullyRead(Progress& progress)
{
    std::vector<StageResults>& all = progress.stagesResult.results;
    for (const int stage : progress.plan.popFullyReadStages()) {
        const auto found = std::find_if(all.begin(), all.end(),
            [stage](const StageResults& results) { return results.stage == stage; });
        if (found == all.end())
            continue;
        m_router.release(*found);
        all.erase(found);
    }
}

Asio::awaitable<void> StageRunner::runStage(std::shared_ptr<Progress> progress, int stage)
{
    if (progress->plan.isFinal(stage) && progress->plan.stagesLeft() > 1)
        co_await delayFinalStage(progress, stage);
    StageResults results { .stage = stage };
    StageWorkResult result;
    if (progress->stagesResult.outcome == StageWorkOutcome::Done && !progress->request.scope->isOver())
        result = co_await runStageWithRetry(progress, stage, results);
    --progress->running;
    if (result.outcome == StageWorkOutcome::Done) {
        progress->hasFinishedStage = true;
        results.handles = result.handles;
        results.domain = result.domain;
        progress->stagesResult.results.push_back(std::move(results));
        progress->plan.markDone(stage, std::move(result.handles));
        releaseFullyRead(*progress);
        startReadyStages(progress);
    } else {
        onStageFailed(*progress, result);
    }
    for (const std::shared_ptr<RuntimeTimer>& timer : progress->finalStageTimers)
        timer->cancel();
    progress->changed.notifyAll();
}

Asio::awaitable<StageWorkResult> StageRunner::runStageWithRetry(
    std::shared_ptr<Progress> progress, int stage, StageResults& results)
{
    StageWorkResult result;
    for (int attempt = 0; attempt < maxStageAttempts; ++attempt) {
        StageWork work = makeWork(*progress, stage);
        results.pool = work.pool;
        results.group = work.group;
        results.bytes = work.resultBytes * work.pieces;
        const std::shared_ptr<HttpCancel> cancel = progress->request.scope->addCall();
        progress->calls.push_back(cancel);
        result = co_await m_router.run(std::move(work), cancel, results.home);
        if (result.outcome != StageWorkOutcome::Failed || cancel->isCancelled())
            break;
        progress->groups.erase(stage);
    }
    co_return result;
}

void StageRunner::onStageFailed(Progress& progress, const StageWorkResult& result)
{
    if (progress.stagesResult.outcome != StageWorkOutcome::Done)
        return;
    progress.stagesResult.outcome = result.outcome;
    progress.stagesResult.retryAfter = result.retryAfter;
    for (const std::shared_ptr<HttpCancel>& call : progress.calls)
        call->cancel();
}

void StageRunner::release(const std::vector<StageResults>& results)
{
    for (const StageResults& stage : results)
        m_router.release(stage);
}

}
