#include "gateway/stagerunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Events of a stream after the first take so long at least.
    constexpr Milliseconds streamTime { 150 };

    // Time of one stage when its servers are free.
    double stageMilliseconds(const ServingConfig& config, const StageDefinition& stage, int pieces)
    {
        const Pool* pool = config.findPool(stage.pool);
        if (!pool || !pool->stage || pieces == 0)
            return 0;
        return static_cast<double>(pool->stage->callTime.count())
            + pool->stage->pieceMilliseconds * std::min(pieces, pool->stage->batchLimit);
    }

}

struct StageRunner::Progress {
    Progress(Asio::io_context& context, ServedRequest& served, Milliseconds engine)
        : request(served)
        , caller(served.caller)
        , config(served.config)
        , scope(served.scope)
        , plan(served.route.stages, served.caller.stagePieces)
        , engineTime(engine)
        , changed(context.get_executor())
    {
        for (std::size_t index = 0; index < served.route.stages.size(); ++index)
            milliseconds.push_back(stageMilliseconds(*config, served.route.stages[index],
                plan.pieces(static_cast<int>(index))));
    }

    // Valid until the coroutine that serves the request goes on; stages that end later use the rest.
    ServedRequest& request;
    CallerRequest caller;
    std::shared_ptr<const ServingConfig> config;
    std::shared_ptr<RequestScope> scope;
    StagePlan plan;
    Milliseconds engineTime;
    AsyncEvent changed;
    std::vector<double> milliseconds;
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

Asio::awaitable<StagesEnd> StageRunner::run(ServedRequest& request, Milliseconds engineTime)
{
    auto progress = std::make_shared<Progress>(m_context, request, engineTime);
    startReady(progress);
    while (progress->running > 0)
        co_await progress->changed.wait();
    progress->end.inputs = progress->plan.finalHandles();
    co_return std::move(progress->end);
}

void StageRunner::startReady(const std::shared_ptr<Progress>& progress)
{
    if (progress->scope->isOver() || progress->end.end != StageWorkEnd::Done)
        return;
    for (const int stage : progress->plan.takeReady()) {
        ++progress->running;
        Asio::co_spawn(m_context, runStage(progress, stage), Asio::detached);
    }
}

StageWork StageRunner::makeWork(const Progress& progress, int stage)
{
    const TimePoint now = RuntimeClock::now();
    const StageDefinition& definition = progress.plan.definition(stage);
    const Milliseconds rest = progress.engineTime
        + Milliseconds(static_cast<Milliseconds::rep>(
            progress.plan.longestTime(stage, progress.milliseconds)));
    const auto left = [now](TimePoint time) { return std::chrono::floor<Milliseconds>(time - now); };
    return { .pool = definition.pool,
        .group = m_router.groupOf(definition.pool, progress.caller.id),
        .requestId = progress.caller.id,
        .stage = stage,
        .pieces = progress.plan.pieces(stage),
        .pieceKey = definition.inputs.empty() ? progress.caller.pieceKey : "",
        .inputs = progress.plan.inputsOf(stage),
        .rank = progress.request.rank,
        .objectiveSlack = left(progress.request.objectiveAt - rest),
        .deadlineSlack = left(progress.request.deadlineAt - rest - streamTime),
        .patience = left(progress.request.deadlineAt),
        .resultBytes = definition.resultBytes,
        .isFirst = !progress.hasBegun };
}

Asio::awaitable<void> StageRunner::runStage(std::shared_ptr<Progress> progress, int stage)
{
    StageWork work = makeWork(*progress, stage);
    StageResults results { .pool = work.pool, .group = work.group };
    const std::shared_ptr<HttpCancel> cancel = progress->scope->addCall();
    progress->calls.push_back(cancel);
    StageWorkResult result = co_await m_router.run(std::move(work), cancel, results.home);
    --progress->running;
    if (result.end == StageWorkEnd::Done) {
        progress->hasBegun = true;
        results.handles = result.handles;
        progress->end.results.push_back(std::move(results));
        progress->plan.done(stage, std::move(result.handles));
        startReady(progress);
    } else if (progress->end.end == StageWorkEnd::Done) {
        progress->end.end = result.end;
        progress->end.retryAfter = result.retryAfter;
        for (const std::shared_ptr<HttpCancel>& call : progress->calls)
            call->cancel();
    }
    progress->changed.notifyAll();
}

void StageRunner::release(const std::vector<StageResults>& results)
{
    for (const StageResults& stage : results)
        m_router.release(stage);
}

}
