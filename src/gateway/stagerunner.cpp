#include "gateway/stagerunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Kept back so that a caller who can't be served hears so before it leaves.
    constexpr Milliseconds answerMargin { 150 };
    // Pieces may be made again; a stage whose servers failed has another try, maybe at another group.
    constexpr int stageAttempts = 2;
    // Results of at least so many bytes are made where the engine will likely read them.
    constexpr double engineBytes = 200'000;

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
    if (progress->request.scope->isOver() || progress->end.end != StageWorkEnd::Done)
        return;
    for (const int stage : progress->plan.takeReady()) {
        ++progress->running;
        Asio::co_spawn(m_context, runStage(progress, stage), Asio::detached);
    }
}

StageWork StageRunner::makeWork(const Progress& progress, int stage)
{
    const TimePoint now = RuntimeClock::now();
    const ServedRequest& request = progress.request;
    const StageDefinition& definition = progress.plan.definition(stage);
    const Milliseconds rest = progress.engineTime + timeFrom(progress, stage);
    const auto left = [now](TimePoint time) { return std::chrono::floor<Milliseconds>(time - now); };
    StageWork work { .pool = definition.pool,
        .group = m_router.groupOf(definition.pool, progress.request.caller.id, request.rank),
        .requestId = progress.request.caller.id,
        .stage = stage,
        .pieces = progress.plan.pieces(stage),
        .pieceKey = definition.inputs.empty() ? progress.request.caller.pieceKey : "",
        .inputs = progress.plan.inputsOf(stage),
        .rank = request.rank,
        .objectiveSlack = left(request.objectiveAt - rest),
        .deadlineSlack = left(request.firstEventBy - rest - answerMargin),
        .patience = left(request.firstEventBy),
        .resultBytes = definition.resultBytes,
        .isFirst = !progress.hasBegun };
    chooseDomain(progress, work);
    return work;
}

Milliseconds StageRunner::timeFrom(const Progress& progress, int stage) const
{
    const ServedRequest& request = progress.request;
    std::vector<double> milliseconds;
    for (std::size_t index = 0; index < request.route.stages.size(); ++index) {
        const StageDefinition& definition = request.route.stages[index];
        const int pieces = progress.plan.pieces(static_cast<int>(index));
        double time = stageMilliseconds(*request.config, definition, pieces);
        // The stage's own wait is its home's to estimate.
        if (static_cast<int>(index) != stage && pieces > 0) {
            const int group = m_router.groupOf(definition.pool, request.caller.id, request.rank);
            time += static_cast<double>(
                m_router.expectedWait(definition.pool, group, request.rank).count());
        }
        milliseconds.push_back(time);
    }
    return Milliseconds(
        static_cast<Milliseconds::rep>(progress.plan.longestTime(stage, milliseconds)));
}

void StageRunner::chooseDomain(const Progress& progress, StageWork& work) const
{
    const double ownBytes = work.resultBytes * work.pieces;
    std::map<FailureDomainId, double> bytes;
    if (ownBytes >= engineBytes && progress.plan.isLast(work.stage))
        bytes[progress.engineDomain] += ownBytes;
    const std::vector<int>& inputs = progress.plan.definition(work.stage).inputs;
    for (const StageResults& results : progress.end.results) {
        // Each piece reads every input.
        if (std::find(inputs.begin(), inputs.end(), results.stage) != inputs.end())
            bytes[results.domain] += results.bytes * work.pieces;
    }
    for (const auto& [domain, crossing] : bytes) {
        if (crossing > work.crossingBytes && !domain.empty()) {
            work.domain = domain;
            work.crossingBytes = crossing;
        }
    }
}

void StageRunner::releaseReadOut(Progress& progress)
{
    std::vector<StageResults>& all = progress.end.results;
    for (const int stage : progress.plan.takeReadOut()) {
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
    StageResults results { .stage = stage };
    StageWorkResult result;
    for (int attempt = 0; attempt < stageAttempts; ++attempt) {
        StageWork work = makeWork(*progress, stage);
        results.pool = work.pool;
        results.group = work.group;
        results.bytes = work.resultBytes * work.pieces;
        const std::shared_ptr<HttpCancel> cancel = progress->request.scope->addCall();
        progress->calls.push_back(cancel);
        result = co_await m_router.run(std::move(work), cancel, results.home);
        if (result.end != StageWorkEnd::Failed || cancel->isCancelled())
            break;
    }
    --progress->running;
    if (result.end == StageWorkEnd::Done) {
        progress->hasBegun = true;
        results.handles = result.handles;
        results.domain = result.domain;
        progress->end.results.push_back(std::move(results));
        progress->plan.done(stage, std::move(result.handles));
        releaseReadOut(*progress);
        startReady(progress);
    } else {
        stageFailed(*progress, result);
    }
    progress->changed.notifyAll();
}

void StageRunner::stageFailed(Progress& progress, const StageWorkResult& result)
{
    if (progress.end.end != StageWorkEnd::Done)
        return;
    progress.end.end = result.end;
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
