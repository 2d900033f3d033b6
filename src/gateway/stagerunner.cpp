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

    // A group elsewhere is used when its wait is shorter by so much, for so many bytes that cross.
    constexpr double farWait = 300;
    constexpr double farBytes = 1'000'000;
    // Kept back so that a caller who can't be served hears so before it leaves.
    constexpr Milliseconds answerMargin { 150 };
    // Pieces may be made again; a stage whose servers failed has another try, maybe at another group.
    constexpr int stageAttempts = 2;
    // Results of at least so many bytes are made where the engine will likely read them.
    constexpr double engineBytes = 200'000;

    // A stage that ends with the others starts so much earlier than it would have to.
    constexpr double turnMargin = 40;
    // Stands for no stage where one is left out of a sum.
    constexpr int noStage = -1;

    // Time of one stage without its wait: its pieces leave in full calls when there is load.
    double stageMilliseconds(const ServingConfig& config, const StageDefinition& stage, int pieces)
    {
        const Pool* pool = config.findPool(stage.pool);
        if (!pool || !pool->stage || pieces == 0)
            return 0;
        return static_cast<double>(pool->stage->callTime.count())
            + pool->stage->pieceMilliseconds * pool->stage->batchLimit;
    }

}

// Groups that a stage may go to: near where it is best run, and any.
struct StageRunner::DrawnGroups {
    bool isDrawn = false;
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
    // When each stage that was begun should end.
    std::map<int, TimePoint> expectedEnds;
    // Groups that each stage may go to.
    std::map<int, DrawnGroups> groups;
    // Stages that wait for their turn.
    std::vector<std::shared_ptr<RuntimeTimer>> turns;
    StagesEnd end;
    int running = 0;
    bool hasBegun = false;
};

StageRunner::StageRunner(Asio::io_context& context, StageRouter& router)
    : m_context(context)
    , m_router(router)
{
}

Asio::awaitable<StagesEnd> StageRunner::run(
    ServedRequest& request, Milliseconds engineTime, FailureDomainId engineDomain)
{
    auto progress = std::make_shared<Progress>(
        m_context, request, engineTime, std::move(engineDomain));
    if (isHopeless(*progress, progress->end.retryAfter)) {
        progress->end.end = StageWorkOutcome::Overloaded;
        co_return std::move(progress->end);
    }
    startReady(progress);
    while (progress->running > 0)
        co_await progress->changed.wait();
    progress->end.inputs = progress->plan.finalHandles();
    for (const StageResults& results : progress->end.results)
        progress->end.inputBytes[results.domain] += results.bytes;
    co_return std::move(progress->end);
}

void StageRunner::startReady(const std::shared_ptr<Progress>& progress)
{
    if (progress->request.scope->isOver() || progress->end.end != StageWorkOutcome::Done)
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
    std::vector<double> times = timesLeft(progress);
    progress.expectedEnds[stage] = now + ceilMilliseconds(times.at(stage));
    // The stage's own wait is its home's to estimate.
    times.at(stage)
        = stageMilliseconds(*request.config, definition, progress.plan.pieces(stage));
    const Milliseconds rest
        = progress.engineTime + ceilMilliseconds(progress.plan.longestTime(stage, times));
    const auto left = [now](TimePoint time) { return std::chrono::floor<Milliseconds>(time - now); };
    Place place = bestPlace(progress, stage);
    StageWork work { .pool = definition.pool,
        .group = groupOf(progress, stage),
        .requestId = progress.request.caller.id,
        .stage = stage,
        .pieces = progress.plan.pieces(stage),
        .pieceKey = definition.inputs.empty() ? progress.request.caller.pieceKey : "",
        .inputs = progress.plan.inputsOf(stage),
        .rank = request.rank,
        .objectiveSlack = left(request.objectiveAt - rest),
        .deadlineSlack = left(request.firstEventBy - rest - answerMargin),
        .callerTimeLeft = left(request.firstEventBy),
        .resultBytes = definition.resultBytes,
        .preferredDomain = std::move(place.domain),
        .crossDomainBytes = place.crossingBytes,
        .isFirst = !progress.hasBegun };
    return work;
}

std::vector<double> StageRunner::timesLeft(Progress& progress) const
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
                m_router.expectedWait(definition.pool, groupOf(progress, stage), request.rank)
                    .count());
        }
        milliseconds.push_back(time);
    }
    return milliseconds;
}

int StageRunner::groupOf(Progress& progress, int stage) const
{
    const ServedRequest& request = progress.request;
    const PoolId& pool = progress.plan.definition(stage).pool;
    const Place place = bestPlace(progress, stage);
    DrawnGroups& drawn = progress.groups[stage];
    if (!drawn.isDrawn || drawn.domain != place.domain)
        drawn = { true, place.domain,
            m_router.drawGroups(pool, request.caller.id, place.domain) };
    const auto [near, other] = drawn.groups;
    const double crossingShare = std::min(place.crossingBytes / farBytes, 1.0);
    const double nearWait
        = static_cast<double>(m_router.expectedWait(pool, near, request.rank).count());
    const double otherWait
        = static_cast<double>(m_router.expectedWait(pool, other, request.rank).count());
    return otherWait + crossingShare * farWait < nearWait ? other : near;
}

bool StageRunner::isHopeless(Progress& progress, Milliseconds& retryAfter) const
{
    const double needed = progress.plan.timeWithout(noStage, timesLeft(progress));
    const auto left = std::chrono::floor<Milliseconds>(
        progress.request.firstEventBy - RuntimeClock::now() - progress.engineTime - answerMargin);
    const Milliseconds excess = ceilMilliseconds(needed) - left;
    retryAfter = std::max(excess, Milliseconds(0));
    if (excess.count() > 0)
        writeLog(LogLevel::Info, "stages_refused",
            { { "request", progress.request.caller.id }, { "rank", progress.request.rank },
                { "needed_ms", std::lround(needed) }, { "left_ms", left.count() } });
    return excess.count() > 0;
}

Asio::awaitable<void> StageRunner::waitForTurn(std::shared_ptr<Progress> progress, int stage)
{
    const std::shared_ptr<HttpCancel> cancel = progress->request.scope->addCall();
    auto timer = std::make_shared<RuntimeTimer>(m_context);
    progress->turns.push_back(timer);
    progress->calls.push_back(cancel);
    cancel->setAction([timer] { timer->cancel(); });
    while (!cancel->isCancelled()) {
        const std::vector<double> left = timesLeft(*progress);
        const double early = progress->plan.timeWithout(stage, left) - left.at(stage) - turnMargin;
        if (early < 1)
            break;
        timer->expires_after(ceilMilliseconds(early));
        boost::system::error_code ignored;
        co_await timer->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    cancel->setAction(nullptr);
}

StageRunner::Place StageRunner::bestPlace(const Progress& progress, int stage) const
{
    const StageDefinition& definition = progress.plan.definition(stage);
    const int pieces = progress.plan.pieces(stage);
    const double ownBytes = definition.resultBytes * pieces;
    std::map<FailureDomainId, double> bytes;
    if (ownBytes >= engineBytes && progress.plan.isFinal(stage))
        bytes[progress.engineDomain] += ownBytes;
    for (const StageResults& results : progress.end.results) {
        // Each piece reads every input.
        if (std::find(definition.inputs.begin(), definition.inputs.end(), results.stage)
            != definition.inputs.end())
            bytes[results.domain] += results.bytes * pieces;
    }
    Place best;
    for (const auto& [domain, crossing] : bytes) {
        if (crossing > best.crossingBytes && !domain.empty())
            best = { domain, crossing };
    }
    return best;
}

void StageRunner::releaseReadOut(Progress& progress)
{
    std::vector<StageResults>& all = progress.end.results;
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
        co_await waitForTurn(progress, stage);
    StageResults results { .stage = stage };
    StageWorkResult result;
    if (progress->end.end == StageWorkOutcome::Done && !progress->request.scope->isOver())
        result = co_await tryStage(progress, stage, results);
    --progress->running;
    if (result.outcome == StageWorkOutcome::Done) {
        progress->hasBegun = true;
        results.handles = result.handles;
        results.domain = result.domain;
        progress->end.results.push_back(std::move(results));
        progress->plan.markDone(stage, std::move(result.handles));
        releaseReadOut(*progress);
        startReady(progress);
    } else {
        stageFailed(*progress, result);
    }
    for (const std::shared_ptr<RuntimeTimer>& turn : progress->turns)
        turn->cancel();
    progress->changed.notifyAll();
}

Asio::awaitable<StageWorkResult> StageRunner::tryStage(
    std::shared_ptr<Progress> progress, int stage, StageResults& results)
{
    StageWorkResult result;
    for (int attempt = 0; attempt < stageAttempts; ++attempt) {
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

void StageRunner::stageFailed(Progress& progress, const StageWorkResult& result)
{
    if (progress.end.end != StageWorkOutcome::Done)
        return;
    progress.end.end = result.outcome;
    progress.end.retryAfter = result.retryAfter;
    for (const std::shared_ptr<HttpCancel>& call : progress.calls)
        call->cancel();
}

void StageRunner::release(const std::vector<StageResults>& results)
{
    for (const StageResults& stage : results)
        m_router.release(stage);
}

}
