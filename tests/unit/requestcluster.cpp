#include "requestcluster.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

using namespace Apricot;

namespace {

constexpr std::size_t generatedTokenCount = 4;
constexpr Milliseconds callerDeadline { 30'000 };
// Time after which an unresponsive host is removed from the members.
constexpr Milliseconds removalTime { 3000 };
constexpr std::size_t serverCount = 3;

}

RequestCluster::RequestCluster(unsigned seed, std::size_t hostCount, ClusterFaults faults)
    : m_random(seed)
    , m_faults(std::move(faults))
    , m_hosts(hostCount)
{
    entry.name = PipelineId("sheets");
    entry.stages = { { .name = "encode", .kind = StageKind::Encode },
        { .name = "generate", .kind = StageKind::Generate } };
    for (std::size_t host = 0; host < hostCount; ++host)
        startHost(host);
    publishMembers();
    // All hosts have been members for longer than the retention time of records, 10 minutes.
    advanceTime(std::chrono::minutes(11));
}

void RequestCluster::advanceTime(Duration time)
{
    for (const TimePoint end = m_now + time; m_now < end;) {
        m_now += std::min<Duration>(end - m_now, std::chrono::seconds(1));
        for (Host& host : m_hosts) {
            if (!host.frozen && !host.members.empty())
                host.table->coverage().observe(host.members, m_now);
        }
    }
}

std::vector<std::string> RequestCluster::stageTokens(
    const std::string& stage, const std::string& input)
{
    const std::size_t count = stage == "generate" ? generatedTokenCount : 1;
    std::vector<std::string> tokens;
    for (std::size_t index = 0; index < count; ++index)
        tokens.push_back(std::string(stage).append(std::to_string(index)).append("<").append(input).append(">"));
    return tokens;
}

std::vector<std::string> RequestCluster::expectedTokens(const std::string& input) const
{
    std::string text = input;
    std::vector<std::string> tokens;
    for (const StageSpec& stage : entry.stages) {
        tokens = stageTokens(stage.name, text);
        text.clear();
        for (const std::string& token : tokens)
            text += token;
    }
    return tokens;
}

bool RequestCluster::drawChance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

std::size_t RequestCluster::drawBelow(std::size_t bound) { return m_random() % bound; }

void RequestCluster::schedule(
    std::size_t host, std::function<void()> handle, std::function<void()> timeout)
{
    const int incarnation = host < m_hosts.size() ? m_hosts[host].incarnation : 0;
    m_events.push_back({ host, incarnation, std::move(handle), std::move(timeout) });
}

void RequestCluster::startHost(std::size_t index)
{
    Host& host = m_hosts[index];
    host.id = HostId("host-" + std::to_string(index));
    ++host.incarnation;
    RecordTableOptions options { .host = host.id,
        .incarnation = host.id.value() + "." + std::to_string(host.incarnation) };
    host.table = std::make_unique<RecordTable>(options);
    host.retries = RetryBudget();
    host.poison = PoisonTable();
    host.frozen = false;
    host.member = true;
    host.epoch = 0;
    host.members.clear();
    host.responses.clear();
    host.requestStartSteps.clear();
}

void RequestCluster::publishMembers()
{
    ++m_epoch;
    std::vector<Member> members;
    for (const Host& host : m_hosts) {
        if (host.member)
            members.push_back({ .host = host.id,
                .incarnation = host.id.value() + "." + std::to_string(host.incarnation) });
    }
    m_membersByEpoch.push_back(members);
    // Each host applies the new epoch at a random later step; a frozen host, after it is unfrozen.
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        const auto applyEpoch = [this, index, members, epoch = m_epoch] {
            Host& host = m_hosts[index];
            if (epoch <= host.epoch)
                return;
            if (!host.members.empty()) {
                const ObjectVersion lastSeenEpoch = std::max(host.epoch, host.missedEpoch);
                for (ObjectVersion missed = lastSeenEpoch + 1; missed < epoch; ++missed)
                    host.table->coverage().observe(m_membersByEpoch[missed - 1], m_now);
            }
            host.epoch = epoch;
            host.members = members;
            host.table->coverage().observe(members, m_now);
        };
        if (m_hosts[index].frozen)
            m_hosts[index].missedEpoch = m_epoch;
        if (m_step == 0 || !m_hosts[index].table)
            applyEpoch();
        else
            schedule(index, applyEpoch);
    }
}

RequestContext RequestCluster::makeContext(std::size_t host)
{
    return { .retries = m_hosts[host].retries,
        .poison = m_hosts[host].poison,
        .epoch = m_hosts[host].epoch };
}

std::vector<std::size_t> RequestCluster::rankedHosts(std::size_t host, const RequestKey& key) const
{
    std::vector<HostId> ids;
    for (const Member& member : m_hosts[host].members)
        ids.push_back(member.host);
    std::vector<std::size_t> indices;
    for (const HostId& id : rankHosts(key.value(), ids))
        indices.push_back(static_cast<std::size_t>(std::stoul(id.value().substr(5))));
    return indices;
}

std::size_t RequestCluster::addCaller(const std::string& key, const std::string& input)
{
    m_callers.push_back({ .key = RequestKey(key), .input = input });
    return m_callers.size() - 1;
}

void RequestCluster::askAgain(std::size_t caller)
{
    m_callers[caller].refusal.reset();
    m_callers[caller].completed = false;
}

void RequestCluster::clearFaults()
{
    m_faults = {};
    for (Host& host : m_hosts)
        host.frozen = false;
    advanceTime(std::chrono::seconds(1));
}

void RequestCluster::submit(ClusterCaller& caller)
{
    // The load balancer and the entry hosts may have stale views, so the view of a random live host
    // is used.
    const std::size_t viewSource = drawBelow(m_hosts.size());
    const std::vector<std::size_t> ranking = rankedHosts(viewSource, caller.key);
    if (ranking.empty() || m_hosts[viewSource].frozen)
        return;
    const std::size_t host = ranking.front();
    Host& coordinator = m_hosts[host];
    const std::vector<std::size_t> ownRanking = rankedHosts(host, caller.key);
    if (coordinator.frozen || ownRanking.empty() || ownRanking.front() != host)
        return;
    const IncomingRequest incoming { .key = caller.key, .keyFromCaller = true, .input = caller.input };
    const auto opened = coordinator.table->open(incoming, entry, m_now, m_wallNow);
    if (const auto* refusal = std::get_if<Refusal>(&opened)) {
        caller.refusal = *refusal;
        return;
    }
    caller.host = host;
    caller.record = std::get<Record>(opened);
    caller.deadline = m_now + callerDeadline;
    caller.attached = true;
    if (!caller.record->isRunning())
        coordinator.requestStartSteps[caller.key] = m_step;
    RequestActions actions;
    caller.id = caller.record->attach(
        caller.tokens.size(), caller.deadline, makeContext(host), m_now, actions);
    executeActions(host, caller.record, actions);
}

void RequestCluster::detachCaller(ClusterCaller& caller)
{
    caller.attached = false;
    RequestActions actions;
    caller.record->detach(caller.id, m_now, actions);
    executeActions(caller.host, caller.record, actions);
}

void RequestCluster::readNext(ClusterCaller& caller)
{
    const Host& host = m_hosts[caller.host];
    if (host.frozen)
        return;
    if (!caller.record->runningElsewhere().empty())
        return detachCaller(caller);
    const std::optional<CallerStep> step = caller.record->next(caller.id, m_now);
    if (!step)
        return;
    if (const auto* token = std::get_if<CallerToken>(&*step)) {
        if (token->index != caller.tokens.size())
            m_violations.push_back("token out of order");
        caller.tokens.push_back(token->text);
        return;
    }
    if (std::holds_alternative<CallerCompleted>(*step)) {
        caller.completed = true;
        if (caller.tokens != expectedTokens(caller.input))
            m_violations.push_back("completed response differs from the expected tokens");
    } else {
        const IncomingRequest incoming { .key = caller.key, .keyFromCaller = true };
        caller.refusal = host.table->limitToKnownRecords(std::get<Refusal>(*step), incoming,
            m_hosts[caller.host].responses[caller.key], m_now);
        checkRefusal(caller);
    }
    detachCaller(caller);
}

void RequestCluster::checkRefusal(const ClusterCaller& caller)
{
    if (caller.refusal->ran != RanState::NotRun)
        return;
    const auto isRunOfKey
        = [&caller](const BackendRun& run) { return run.attempt.key == caller.key; };
    if (std::any_of(m_runs.begin(), m_runs.end(), isRunOfKey))
        m_violations.push_back(
            "refusal reported not_run for a key that had run: " + caller.key.value());
    // A request that another host started earlier must not run later either.
    const int refusalStep = m_step;
    const std::size_t host = caller.host;
    const RequestKey key = caller.key;
    for (Event& event : m_events) {
        const auto handle = event.handle;
        event.handle = [this, handle, refusalStep, host, key] {
            const std::size_t runsBefore = m_runs.size();
            handle();
            for (std::size_t run = runsBefore; run < m_runs.size(); ++run) {
                const bool isStartedEarlierElsewhere = m_runs[run].host != host
                    && m_runs[run].requestStartStep < refusalStep;
                if (m_runs[run].attempt.key == key && isStartedEarlierElsewhere)
                    m_violations.push_back(
                        "key ran after a refusal reported not_run: " + key.value());
            }
        };
    }
}

void RequestCluster::run(int steps)
{
    for (int used = 0; used < steps; ++used) {
        ++m_step;
        advanceTime(Milliseconds(1 + drawBelow(20)));
        injectFaults();
        deliverRandomEvent();
        bool hasWaitingCallers = false;
        for (ClusterCaller& caller : m_callers) {
            if (caller.completed || caller.refusal)
                continue;
            hasWaitingCallers = true;
            if (!caller.attached)
                submit(caller);
            else if (drawChance(50))
                readNext(caller);
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].frozen)
                continue;
            for (const auto& [key, record] : m_hosts[host].table->records()) {
                const std::optional<TimePoint> due = record->nextTick();
                if (!due || *due > m_now)
                    continue;
                RequestActions actions;
                record->tick(makeContext(host), m_now, actions);
                executeActions(host, record, actions);
            }
        }
        if (!hasWaitingCallers && m_events.empty())
            return;
    }
}

void RequestCluster::deliverRandomEvent()
{
    if (m_events.empty())
        return;
    const std::size_t eventIndex = drawBelow(m_events.size());
    const std::size_t host = m_events[eventIndex].host;
    if (host < m_hosts.size() && m_hosts[host].frozen) {
        if (const auto timeout = std::exchange(m_events[eventIndex].timeout, {}))
            timeout();
        return;
    }
    const Event event = std::move(m_events[eventIndex]);
    m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(eventIndex));
    const bool isDead = host < m_hosts.size() && m_hosts[host].incarnation != event.incarnation;
    if (isDead && event.timeout)
        event.timeout();
    if (isDead)
        return;
    event.handle();
}

void RequestCluster::killHost(std::size_t index)
{
    startHost(index);
    std::erase_if(m_active, [index](const auto& run) { return run.second.host == index; });
    for (ClusterCaller& caller : m_callers) {
        if (caller.attached && caller.host == index)
            caller.attached = false;
    }
    publishMembers();
}

void RequestCluster::killCoordinator(std::size_t caller)
{
    if (m_callers[caller].attached)
        killHost(m_callers[caller].host);
}

void RequestCluster::injectFaults()
{
    const std::size_t index = drawBelow(m_hosts.size());
    Host& host = m_hosts[index];
    if (drawChance(m_faults.kill)) {
        killHost(index);
    } else if (drawChance(m_faults.freeze)) {
        host.frozen = !host.frozen;
        host.member = !host.frozen;
        if (host.frozen)
            advanceTime(removalTime);
        publishMembers();
    }
    for (ClusterCaller& caller : m_callers) {
        if (caller.attached && !m_hosts[caller.host].frozen
            && drawChance(m_faults.callerDisconnect))
            detachCaller(caller);
        else if (caller.attached && m_hosts[caller.host].frozen && drawChance(10))
            caller.attached = false;
    }
}

void RequestCluster::executeActions(
    std::size_t host, const Record& record, const RequestActions& actions)
{
    for (const RequestAction& action : actions)
        std::visit([&](const auto& alternative) { execute(host, record, alternative); }, action);
}

void RequestCluster::execute(std::size_t host, const Record& record, const StoreCopyAction& action)
{
    if (action.opening)
        m_hosts[host].responses.erase(action.copy.key);
    std::vector<std::size_t> followers = rankedHosts(host, action.copy.key);
    std::erase(followers, host);
    followers.resize(std::min<std::size_t>(followers.size(), 2));
    if (followers.empty())
        return schedule(
            host, [=, this] { onStoreFinished(host, record, action, { CopyResponse {} }); });
    storeAtFollowers(host, record, action, followers, {});
}

void RequestCluster::storeAtFollowers(std::size_t host, const Record& record,
    const StoreCopyAction& action, std::vector<std::size_t> followers,
    std::vector<CopyResponse> responses)
{
    const bool needsAllFollowers = action.opening
        && !m_hosts[host].table->hasAllRecords(action.copy.key, responses, m_now);
    if (followers.empty() || (!responses.empty() && !needsAllFollowers))
        return onStoreFinished(host, record, action, responses);
    const std::size_t follower = followers.front();
    followers.erase(followers.begin());
    const auto isLate = std::make_shared<bool>(drawChance(m_faults.peerTimeout));
    const auto timeout = [=, this] {
        *isLate = true;
        schedule(host, [=, this] { storeAtFollowers(host, record, action, followers, responses); });
    };
    // A follower whose response is late still stores the copy.
    const auto storeCopy = [=, this] {
        const CopyResponse response
            = m_hosts[follower].table->store(action.copy, action.opening, m_now);
        if (*isLate)
            return;
        std::vector<CopyResponse> allResponses = responses;
        allResponses.push_back(response);
        schedule(host,
            [=, this] { storeAtFollowers(host, record, action, followers, allResponses); });
    };
    if (*isLate)
        timeout();
    schedule(follower, storeCopy, *isLate ? std::function<void()>() : timeout);
}

void RequestCluster::onStoreFinished(std::size_t host, const Record& record,
    const StoreCopyAction& action, const std::vector<CopyResponse>& responses)
{
    if (responses.empty()) {
        // No follower responded: retried while the record still waits for this copy.
        if (record->isAwaitingCopy(action.copy.revision) && record->callerCount() > 0)
            schedule(host, [=, this] { execute(host, record, action); });
        return;
    }
    if (action.opening)
        m_hosts[host].responses[action.copy.key] = responses;
    RequestActions actions;
    record->onCopyStored(
        action.copy.revision, mergeResponses(responses), makeContext(host), m_now, actions);
    executeActions(host, record, actions);
}

void RequestCluster::execute(std::size_t host, const Record& record, const ClaimAction& action)
{
    schedule(m_hosts.size(), [=, this] {
        ClaimResponse response;
        const bool isResponseLost = drawChance(m_faults.claimResponseLoss);
        if (!m_faults.platformDown) {
            const std::string& holder
                = m_claims.emplace(action.claimKey, action.token).first->second;
            if (!isResponseLost)
                response.result
                    = holder == action.token ? ClaimResult::Granted : ClaimResult::HeldByOther;
        }
        schedule(host, [=, this] {
            RequestActions actions;
            record->onClaimResponse(response, makeContext(host), m_now, actions);
            executeActions(host, record, actions);
        });
    });
}

void RequestCluster::execute(
    std::size_t host, const Record& record, const StartAttemptAction& action)
{
    const std::size_t server = drawBelow(serverCount);
    record->onRouted(action.attempt, BackendServerId("server-" + std::to_string(server)));
    const BackendRun run { .attempt = action.attempt,
        .input = action.input,
        .createdAtStep = m_step,
        .requestStartStep = m_hosts[host].requestStartSteps[action.attempt.key],
        .host = host };
    if (host < m_faults.rejectingHostCount && drawChance(m_faults.rejection))
        return endAttempt(host, record, { .attempt = action.attempt, .end = StageEndReason::Rejected });
    // The attempt is sent by this host, so it is delayed while the host is frozen.
    schedule(host, [=, this] {
        schedule(m_hosts.size(), [=, this] { runAttempt(host, record, run, action, server); });
    });
}

void RequestCluster::runAttempt(std::size_t host, const Record& record, const BackendRun& run,
    const StartAttemptAction& action, std::size_t server)
{
    if (!hasCapacity(server, action.isExclusive))
        return schedule(
            m_hosts.size(), [=, this] { runAttempt(host, record, run, action, server); });
    m_runs.push_back(run);
    m_active[action.attempt] = { host, record, server, action.isExclusive };
    const std::size_t runIndex = m_runs.size() - 1;
    if (!m_faults.poison.empty() && run.input.find(m_faults.poison) != std::string::npos)
        return schedule(m_hosts.size(), [=, this] {
            m_runs[runIndex].crashed = m_active.count(action.attempt) != 0;
            crashServer(server);
        });
    const std::uint64_t count = stageTokens(action.stage.name, action.input).size();
    const bool fails = drawChance(m_faults.attemptFailure);
    sendToken(host, record, action, action.resumeFrom, fails ? drawBelow(count + 1) : count + 1);
}

bool RequestCluster::hasCapacity(std::size_t server, bool exclusive) const
{
    return std::none_of(m_active.begin(), m_active.end(), [&](const auto& active) {
        return active.second.server == server && (exclusive || active.second.exclusive);
    });
}

void RequestCluster::crashServer(std::size_t server)
{
    std::map<AttemptId, ActiveRun> endedRuns;
    for (const auto& [attempt, run] : m_active) {
        if (run.server == server)
            endedRuns[attempt] = run;
    }
    for (const auto& [attempt, run] : endedRuns)
        endAttempt(run.host, run.record,
            { .attempt = attempt, .end = StageEndReason::Crashed, .sent = true });
}

void RequestCluster::sendToken(std::size_t host, const Record& record,
    const StartAttemptAction& action, std::uint64_t index, std::uint64_t stopAt)
{
    if (m_active.count(action.attempt) == 0)
        return;
    const std::vector<std::string> tokens = stageTokens(action.stage.name, action.input);
    if (index >= stopAt)
        return endAttempt(
            host, record, { .attempt = action.attempt, .end = StageEndReason::Failed, .sent = true });
    if (index >= tokens.size())
        return endAttempt(host, record,
            { .attempt = action.attempt, .sent = true, .tokens = tokens.size() });
    const auto deliver = [=, this] {
        record->onToken(action.attempt, index, tokens[index]);
    };
    if (drawChance(m_faults.duplicate))
        schedule(host, deliver);
    schedule(host, [=, this] {
        deliver();
        sendToken(host, record, action, index + 1, stopAt);
    });
}

void RequestCluster::endAttempt(std::size_t host, const Record& record, StageOutcome outcome)
{
    m_active.erase(outcome.attempt);
    const auto deliver = [=, this] {
        RequestActions actions;
        record->onAttemptEnded(outcome, makeContext(host), m_now, actions);
        executeActions(host, record, actions);
    };
    if (drawChance(m_faults.duplicate))
        schedule(host, deliver);
    schedule(host, deliver);
}

void RequestCluster::execute(
    std::size_t /*host*/, const Record& /*record*/, const CancelAttemptAction& /*action*/)
{
    // Cancellations are always lost, so late responses of the attempt keep arriving.
}

void RequestCluster::execute(
    std::size_t /*host*/, const Record& /*record*/, const SendPoisonNoticeAction& action)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        schedule(host, [this, host, action] { m_hosts[host].poison.apply(action.notice, m_now); });
}
