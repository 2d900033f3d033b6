#include "requestcluster.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

using namespace Apricot;

namespace {

constexpr std::size_t tokensOfGeneration = 4;
constexpr Milliseconds callerDeadline { 30'000 };
// How long a silent member stays in.
constexpr Milliseconds removalTime { 3000 };
constexpr std::size_t servers = 3;

}

RequestCluster::RequestCluster(unsigned seed, std::size_t hosts, ClusterFaults faults)
    : m_random(seed)
    , m_faults(std::move(faults))
    , m_hosts(hosts)
{
    entry.name = PipelineId("sheets");
    entry.stages = { { .name = "encode", .kind = StageKind::Encode },
        { .name = "generate", .kind = StageKind::Generate } };
    for (std::size_t host = 0; host < hosts; ++host)
        start(host);
    publishMembers();
    // All hosts have been members for as long as records are kept.
    passTime(std::chrono::minutes(11));
}

void RequestCluster::passTime(Duration time)
{
    for (const TimePoint end = m_now + time; m_now < end;) {
        m_now += std::min<Duration>(end - m_now, std::chrono::seconds(1));
        for (Host& host : m_hosts) {
            if (!host.frozen && !host.members.empty())
                host.table->coverage().observe(host.members, m_now);
        }
    }
}

std::vector<std::string> RequestCluster::tokensOf(const std::string& stage, const std::string& input)
{
    const std::size_t count = stage == "generate" ? tokensOfGeneration : 1;
    std::vector<std::string> tokens;
    for (std::size_t index = 0; index < count; ++index)
        tokens.push_back(std::string(stage).append(std::to_string(index)).append("<").append(input).append(">"));
    return tokens;
}

std::vector<std::string> RequestCluster::answerOf(const std::string& input) const
{
    std::string text = input;
    std::vector<std::string> tokens;
    for (const StageSpec& stage : entry.stages) {
        tokens = tokensOf(stage.name, text);
        text.clear();
        for (const std::string& token : tokens)
            text += token;
    }
    return tokens;
}

bool RequestCluster::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

std::size_t RequestCluster::draw(std::size_t bound) { return m_random() % bound; }

void RequestCluster::schedule(
    std::size_t host, std::function<void()> handle, std::function<void()> timeout)
{
    const int incarnation = host < m_hosts.size() ? m_hosts[host].incarnation : 0;
    m_events.push_back({ host, incarnation, std::move(handle), std::move(timeout) });
}

void RequestCluster::start(std::size_t index)
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
    host.answers.clear();
    host.begunAt.clear();
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
    m_history.push_back(members);
    // Each host learns the new epoch in its own time; one that is frozen, after it goes on.
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        const auto learn = [this, index, members, epoch = m_epoch] {
            Host& host = m_hosts[index];
            if (epoch <= host.epoch)
                return;
            if (!host.members.empty()) {
                const ObjectVersion seen = std::max(host.epoch, host.missedEpoch);
                for (ObjectVersion missed = seen + 1; missed < epoch; ++missed)
                    host.table->coverage().observe(m_history[missed - 1], m_now);
            }
            host.epoch = epoch;
            host.members = members;
            host.table->coverage().observe(members, m_now);
        };
        if (m_hosts[index].frozen)
            m_hosts[index].missedEpoch = m_epoch;
        if (m_step == 0 || !m_hosts[index].table)
            learn();
        else
            schedule(index, learn);
    }
}

RequestContext RequestCluster::context(std::size_t host)
{
    return { .retries = m_hosts[host].retries,
        .poison = m_hosts[host].poison,
        .epoch = m_hosts[host].epoch };
}

std::vector<std::size_t> RequestCluster::order(std::size_t host, const RequestKey& key) const
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

void RequestCluster::heal()
{
    m_faults = {};
    for (Host& host : m_hosts)
        host.frozen = false;
    passTime(std::chrono::seconds(1));
}

void RequestCluster::submit(ClusterCaller& caller)
{
    // The balancer and the entry hosts may be behind, so any live host's view may be used.
    const std::size_t asked = draw(m_hosts.size());
    const std::vector<std::size_t> ranked = order(asked, caller.key);
    if (ranked.empty() || m_hosts[asked].frozen)
        return;
    const std::size_t host = ranked.front();
    Host& home = m_hosts[host];
    const std::vector<std::size_t> ownOrder = order(host, caller.key);
    if (home.frozen || ownOrder.empty() || ownOrder.front() != host)
        return;
    const IncomingRequest incoming { .key = caller.key, .keyFromCaller = true, .input = caller.input };
    const auto opened = home.table->open(incoming, entry, m_now, m_wallNow);
    if (const auto* refusal = std::get_if<Refusal>(&opened)) {
        caller.refusal = *refusal;
        return;
    }
    caller.host = host;
    caller.record = std::get<Record>(opened);
    caller.deadline = m_now + callerDeadline;
    caller.attached = true;
    if (!caller.record->isRunning())
        home.begunAt[caller.key] = m_step;
    RequestActions actions;
    caller.id = caller.record->attach(
        caller.tokens.size(), caller.deadline, context(host), m_now, actions);
    perform(host, caller.record, actions);
}

void RequestCluster::leave(ClusterCaller& caller)
{
    caller.attached = false;
    RequestActions actions;
    caller.record->detach(caller.id, m_now, actions);
    perform(caller.host, caller.record, actions);
}

void RequestCluster::pull(ClusterCaller& caller)
{
    const Host& host = m_hosts[caller.host];
    if (host.frozen)
        return;
    if (!caller.record->runningElsewhere().empty())
        return leave(caller);
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
        if (caller.tokens != answerOf(caller.input))
            m_violations.push_back("answer that is not whole");
    } else {
        const IncomingRequest incoming { .key = caller.key, .keyFromCaller = true };
        caller.refusal = host.table->limitToKnownRecords(std::get<Refusal>(*step), incoming,
            m_hosts[caller.host].answers[caller.key], m_now);
        check(caller);
    }
    leave(caller);
}

void RequestCluster::check(const ClusterCaller& caller)
{
    if (caller.refusal->ran != RanState::NotRun)
        return;
    const auto ran = [&caller](const BackendRun& run) { return run.attempt.key == caller.key; };
    if (std::any_of(m_runs.begin(), m_runs.end(), ran))
        m_violations.push_back("not run was said of a key that ran: " + caller.key.value());
    // What another host began before must not run either.
    const int now = m_step;
    const std::size_t host = caller.host;
    const RequestKey key = caller.key;
    for (Event& event : m_events) {
        const auto handle = event.handle;
        event.handle = [this, handle, now, host, key] {
            const std::size_t before = m_runs.size();
            handle();
            for (std::size_t run = before; run < m_runs.size(); ++run) {
                const bool isOther = m_runs[run].host != host && m_runs[run].begunAt < now;
                if (m_runs[run].attempt.key == key && isOther)
                    m_violations.push_back("ran after not run was said: " + key.value());
            }
        };
    }
}

void RequestCluster::run(int steps)
{
    for (int used = 0; used < steps; ++used) {
        ++m_step;
        passTime(Milliseconds(1 + draw(20)));
        disturb();
        deliverOne();
        bool waits = false;
        for (ClusterCaller& caller : m_callers) {
            if (caller.completed || caller.refusal)
                continue;
            waits = true;
            if (!caller.attached)
                submit(caller);
            else if (chance(50))
                pull(caller);
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].frozen)
                continue;
            for (const auto& [key, record] : m_hosts[host].table->records()) {
                const std::optional<TimePoint> due = record->nextTick();
                if (!due || *due > m_now)
                    continue;
                RequestActions actions;
                record->tick(context(host), m_now, actions);
                perform(host, record, actions);
            }
        }
        if (!waits && m_events.empty())
            return;
    }
}

void RequestCluster::deliverOne()
{
    if (m_events.empty())
        return;
    const std::size_t picked = draw(m_events.size());
    const std::size_t host = m_events[picked].host;
    if (host < m_hosts.size() && m_hosts[host].frozen) {
        if (const auto timeout = std::exchange(m_events[picked].timeout, {}))
            timeout();
        return;
    }
    const Event event = std::move(m_events[picked]);
    m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(picked));
    const bool isDead = host < m_hosts.size() && m_hosts[host].incarnation != event.incarnation;
    if (isDead && event.timeout)
        event.timeout();
    if (isDead)
        return;
    event.handle();
}

void RequestCluster::kill(std::size_t index)
{
    start(index);
    std::erase_if(m_active, [index](const auto& run) { return run.second.host == index; });
    for (ClusterCaller& caller : m_callers) {
        if (caller.attached && caller.host == index)
            caller.attached = false;
    }
    publishMembers();
}

void RequestCluster::killHome(std::size_t caller)
{
    if (m_callers[caller].attached)
        kill(m_callers[caller].host);
}

void RequestCluster::disturb()
{
    const std::size_t index = draw(m_hosts.size());
    Host& host = m_hosts[index];
    if (chance(m_faults.kill)) {
        kill(index);
    } else if (chance(m_faults.freeze)) {
        host.frozen = !host.frozen;
        host.member = !host.frozen;
        if (host.frozen)
            passTime(removalTime);
        publishMembers();
    }
    for (ClusterCaller& caller : m_callers) {
        if (caller.attached && !m_hosts[caller.host].frozen && chance(m_faults.callerCut))
            leave(caller);
        else if (caller.attached && m_hosts[caller.host].frozen && chance(10))
            caller.attached = false;
    }
}

void RequestCluster::perform(
    std::size_t host, const Record& record, const RequestActions& actions)
{
    for (const RequestAction& action : actions)
        std::visit([&](const auto& alternative) { act(host, record, alternative); }, action);
}

void RequestCluster::act(std::size_t host, const Record& record, const StoreCopyAction& action)
{
    if (action.opening)
        m_hosts[host].answers.erase(action.copy.key);
    std::vector<std::size_t> followers = order(host, action.copy.key);
    std::erase(followers, host);
    followers.resize(std::min<std::size_t>(followers.size(), 2));
    if (followers.empty())
        return schedule(host, [=, this] { stored(host, record, action, { CopyResponse {} }); });
    storeAt(host, record, action, followers, {});
}

void RequestCluster::storeAt(std::size_t host, const Record& record,
    const StoreCopyAction& action, std::vector<std::size_t> followers,
    std::vector<CopyResponse> answers)
{
    const bool asksAll = action.opening
        && !m_hosts[host].table->hasAllRecords(action.copy.key, answers, m_now);
    if (followers.empty() || (!answers.empty() && !asksAll))
        return stored(host, record, action, answers);
    const std::size_t follower = followers.front();
    followers.erase(followers.begin());
    const auto isLate = std::make_shared<bool>(chance(m_faults.peerTimeout));
    const auto timeout = [=, this] {
        *isLate = true;
        schedule(host, [=, this] { storeAt(host, record, action, followers, answers); });
    };
    // A late follower takes in the copy all the same.
    const auto store = [=, this] {
        const CopyResponse answer
            = m_hosts[follower].table->store(action.copy, action.opening, m_now);
        if (*isLate)
            return;
        std::vector<CopyResponse> more = answers;
        more.push_back(answer);
        schedule(host, [=, this] { storeAt(host, record, action, followers, more); });
    };
    if (*isLate)
        timeout();
    schedule(follower, store, *isLate ? std::function<void()>() : timeout);
}

void RequestCluster::stored(std::size_t host, const Record& record,
    const StoreCopyAction& action, const std::vector<CopyResponse>& answers)
{
    if (answers.empty()) {
        // None was reached: asked again, while the record still waits for it.
        if (record->isAwaitingCopy(action.copy.revision) && record->callerCount() > 0)
            schedule(host, [=, this] { act(host, record, action); });
        return;
    }
    if (action.opening)
        m_hosts[host].answers[action.copy.key] = answers;
    RequestActions actions;
    record->onCopyStored(
        action.copy.revision, mergeResponses(answers), context(host), m_now, actions);
    perform(host, record, actions);
}

void RequestCluster::act(std::size_t host, const Record& record, const ClaimAction& action)
{
    schedule(m_hosts.size(), [=, this] {
        ClaimResponse answer;
        const bool lost = chance(m_faults.platformLoss);
        if (!m_faults.platformDown) {
            const std::string& holder
                = m_claims.emplace(action.claimKey, action.token).first->second;
            if (!lost)
                answer.result
                    = holder == action.token ? ClaimResult::Granted : ClaimResult::HeldByOther;
        }
        schedule(host, [=, this] {
            RequestActions actions;
            record->onClaimResponse(answer, context(host), m_now, actions);
            perform(host, record, actions);
        });
    });
}

void RequestCluster::act(std::size_t host, const Record& record, const StartAttemptAction& action)
{
    const std::size_t server = draw(servers);
    record->onRouted(action.attempt, BackendServerId("server-" + std::to_string(server)));
    const BackendRun run { .attempt = action.attempt,
        .input = action.input,
        .createdAt = m_step,
        .begunAt = m_hosts[host].begunAt[action.attempt.key],
        .host = host };
    if (host < m_faults.rejectingHosts && chance(m_faults.rejection))
        return end(host, record, { .attempt = action.attempt, .end = StageEndReason::Rejected });
    // The attempt leaves from this host: it is not sent while the host is frozen.
    schedule(host, [=, this] {
        schedule(m_hosts.size(), [=, this] { runAttempt(host, record, run, action, server); });
    });
}

void RequestCluster::runAttempt(std::size_t host, const Record& record, const BackendRun& run,
    const StartAttemptAction& action, std::size_t server)
{
    if (!hasRoom(server, action.isExclusive))
        return schedule(
            m_hosts.size(), [=, this] { runAttempt(host, record, run, action, server); });
    m_runs.push_back(run);
    m_active[action.attempt] = { host, record, server, action.isExclusive };
    const std::size_t number = m_runs.size() - 1;
    if (!m_faults.poison.empty() && run.input.find(m_faults.poison) != std::string::npos)
        return schedule(m_hosts.size(), [=, this] {
            m_runs[number].crashed = m_active.count(action.attempt) != 0;
            crash(server);
        });
    const std::uint64_t count = tokensOf(action.stage.name, action.input).size();
    const bool fails = chance(m_faults.attemptFailure);
    token(host, record, action, action.resumeFrom, fails ? draw(count + 1) : count + 1);
}

bool RequestCluster::hasRoom(std::size_t server, bool isExclusive) const
{
    return std::none_of(m_active.begin(), m_active.end(), [&](const auto& active) {
        return active.second.server == server && (isExclusive || active.second.isExclusive);
    });
}

void RequestCluster::crash(std::size_t server)
{
    std::map<AttemptId, ActiveRun> gone;
    for (const auto& [attempt, run] : m_active) {
        if (run.server == server)
            gone[attempt] = run;
    }
    for (const auto& [attempt, run] : gone)
        end(run.host, run.record, { .attempt = attempt, .end = StageEndReason::Crashed, .sent = true });
}

void RequestCluster::token(std::size_t host, const Record& record,
    const StartAttemptAction& action, std::uint64_t index, std::uint64_t stopAt)
{
    if (m_active.count(action.attempt) == 0)
        return;
    const std::vector<std::string> tokens = tokensOf(action.stage.name, action.input);
    if (index >= stopAt)
        return end(
            host, record, { .attempt = action.attempt, .end = StageEndReason::Failed, .sent = true });
    if (index >= tokens.size())
        return end(host, record,
            { .attempt = action.attempt, .sent = true, .tokens = tokens.size() });
    const auto deliver = [=, this] {
        record->onToken(action.attempt, index, tokens[index]);
    };
    if (chance(m_faults.duplicate))
        schedule(host, deliver);
    schedule(host, [=, this] {
        deliver();
        token(host, record, action, index + 1, stopAt);
    });
}

void RequestCluster::end(std::size_t host, const Record& record, StageOutcome outcome)
{
    m_active.erase(outcome.attempt);
    const auto deliver = [=, this] {
        RequestActions actions;
        record->onAttemptEnded(outcome, context(host), m_now, actions);
        perform(host, record, actions);
    };
    if (chance(m_faults.duplicate))
        schedule(host, deliver);
    schedule(host, deliver);
}

void RequestCluster::act(
    std::size_t /*host*/, const Record& /*record*/, const CancelAttemptAction& /*action*/)
{
    // The cancellation is lost, so answers go on arriving late.
}

void RequestCluster::act(
    std::size_t /*host*/, const Record& /*record*/, const SendPoisonNoticeAction& action)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        schedule(host, [this, host, action] { m_hosts[host].poison.apply(action.notice, m_now); });
}
