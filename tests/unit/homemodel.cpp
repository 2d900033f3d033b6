#include "homemodel.h"

#include <algorithm>

using namespace Apricot;

namespace {

const BackendServerId serverId { "server" };
const FailureDomainId serverDomain { "domain" };
constexpr TakeoverOptions takeoverOptions { .evidenceTime = Milliseconds(3000),
    .drainTime = Milliseconds(500),
    .longestAttempt = Milliseconds(10000) };
// Greatest age of the catalogue on which a process can have been permitted.
constexpr Duration relayDelay = Milliseconds(1000);
// Greatest age of the server's own report of its incarnation.
constexpr Duration reportLag = Milliseconds(700);
// Longer than every wait in a take-over from a frozen process.
constexpr Duration longPause = Milliseconds(14000);
// Greatest number of calls that one step submits or finishes.
constexpr int maxBurst = 6;
constexpr int tokensPerStep = 4;
constexpr Duration coldTokenInterval = Milliseconds(25);
constexpr Duration warmTokenInterval = Milliseconds(10);
constexpr int warmCap = 6;
constexpr int hostCount = 4;

}

std::ostream& operator<<(std::ostream& stream, const ModelStep& step)
{
    return stream << "{" << step.kind << "," << step.process << "," << step.amount << "}";
}

HomeModel::HomeModel(int coldCap, int requestsToWarm)
    : m_coldCap(coldCap)
    , m_requestsToWarm(requestsToWarm)
{
    RuntimeClock::pause();
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->servers[serverId] = { .id = serverId, .failureDomain = serverDomain };
    m_catalogue = catalogue;
    m_previousCatalogue = catalogue;
    for (int host = 0; host < hostCount; ++host)
        addProcess("host-" + std::to_string(host));
    m_cell.homes[serverId] = { .home = m_processes[0].view.self,
        .incarnation = m_processes[0].view.incarnation,
        .since = m_epoch };
    updateViews();
}

HomeModel::~HomeModel()
{
    RuntimeClock::resume();
}

std::size_t HomeModel::addProcess(const std::string& host)
{
    Process process;
    process.view.self = HostId(host);
    process.view.incarnation = host + "#" + std::to_string(m_processes.size());
    process.ledger = std::make_unique<ReplicaLedger>(
        ReplicaLedgerOptions { .capacity = { .coldCap = m_coldCap,
                                   .warmCap = warmCap,
                                   .requestsToWarm = m_requestsToWarm },
            .takeover = takeoverOptions });
    m_processes.push_back(std::move(process));
    return m_processes.size() - 1;
}

std::size_t HomeModel::pickLiveProcess(int choice) const
{
    std::vector<std::size_t> liveProcesses;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes[index].isAlive)
            liveProcesses.push_back(index);
    }
    return liveProcesses[static_cast<std::size_t>(choice) % liveProcesses.size()];
}

void HomeModel::apply(const ModelStep& step)
{
    const std::size_t index = pickLiveProcess(step.process);
    switch (step.kind) {
    case 0:
        for (int call = 0; call <= step.amount % maxBurst; ++call) {
            submitCall(m_homeIndex);
            startReservedCall(m_homeIndex, false);
        }
        break;
    case 2:
        submitCall(m_homeIndex);
        break;
    case 3:
        startReservedCall(step.amount % 2 ? index : m_homeIndex, false);
        break;
    case 4:
        submitCall(m_homeIndex);
        startReservedCall(m_homeIndex, true);
        break;
    case 5:
        m_processes[step.amount % 2 ? index : m_homeIndex].isFrozen = true;
        break;
    case 6:
        thaw(index);
        break;
    case 7:
        kill(step.amount % 3 ? index : m_homeIndex);
        break;
    case 8:
        reassign(index);
        break;
    case 9:
        for (int call = 0; call <= step.amount % maxBurst; ++call)
            finishRun(step.amount);
        break;
    case 10:
        cancelRun(step.amount);
        break;
    case 11:
        crashServer();
        break;
    case 12:
        setOutOfService(step.amount % 4 == 0);
        break;
    case 13:
        m_processes[index].isCutOff = !m_processes[index].isCutOff;
        break;
    case 14:
        advanceTime(longPause);
        break;
    default:
        advanceTime(Milliseconds(step.amount % 4000));
    }
    advanceTime(Milliseconds(10));
    produceTokens();
    for (std::size_t otherIndex = 0; otherIndex < m_processes.size(); ++otherIndex)
        pollHealth(otherIndex);
}

bool HomeModel::isServerCold() const
{
    return m_finishedSinceCold < m_requestsToWarm;
}

// Produces tokens for every run whose connection is open and whose process is running.
void HomeModel::produceTokens()
{
    for (const Run& run : m_runs) {
        Process& process = m_processes[run.processIndex];
        if (!process.isRunning() || run.closedAt)
            continue;
        for (int token = 0; token < tokensPerStep; ++token)
            process.ledger->onStep(run.number, isServerCold() ? coldTokenInterval : warmTokenInterval);
    }
}

void HomeModel::submitCall(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.isRunning())
        return;
    recordStarts(index,
        process.ledger->submit(
            m_nextCallNumber++, { .budget = Milliseconds(60000) }, RuntimeClock::now()));
}

void HomeModel::recordStarts(std::size_t index, const LedgerActions& actions)
{
    for (const LedgerAction& action : actions) {
        if (const auto* start = std::get_if<StartAction>(&action))
            m_processes[index].reservedCalls.push_back(start->number);
    }
}

void HomeModel::startReservedCall(std::size_t index, bool freezesBeforeWrite)
{
    Process& process = m_processes[index];
    if (!process.isRunning() || process.reservedCalls.empty())
        return;
    const CallNumber number = process.reservedCalls.front();
    process.reservedCalls.erase(process.reservedCalls.begin());
    if (!process.ledger->confirmStart(number, process.view, serverId, RuntimeClock::now()))
        return recordStarts(index, process.ledger->advance(RuntimeClock::now()));
    if (!freezesBeforeWrite)
        return startRun(index, number, false);
    process.checkedCall = number;
    process.isFrozen = true;
}

void HomeModel::startRun(std::size_t index, CallNumber number, bool wasDelayed)
{
    const TimePoint now = RuntimeClock::now();
    endExpiredRuns();
    if (isServerCold() && static_cast<int>(m_runs.size()) >= m_coldCap)
        ++m_coldViolations;
    if (!wasDelayed && m_processes[index].ledger->cap() > m_coldCap + m_finishedSinceCold)
        ++m_capViolations;
    if (m_outOfServiceSince && !wasDelayed)
        m_longestLateStart = std::max(m_longestLateStart, now - *m_outOfServiceSince);
    m_runs.push_back({ .processIndex = index, .number = number, .startedAt = now });
    ++m_startedRuns;
}

void HomeModel::thaw(std::size_t index)
{
    Process& process = m_processes[index];
    process.isFrozen = false;
    if (process.checkedCall)
        startRun(index, *process.checkedCall, true);
    process.checkedCall.reset();
    for (const auto& [number, outcome] : process.unreadOutcomes)
        deliverOutcome(index, number, outcome);
    process.unreadOutcomes.clear();
    // A thawed process continues with its old view before it receives an update.
    startReservedCall(index, false);
}

void HomeModel::deliverOutcome(std::size_t index, CallNumber number, RunOutcome outcome)
{
    Process& process = m_processes[index];
    const TimePoint now = RuntimeClock::now();
    if (!process.isAlive)
        return;
    if (process.isFrozen)
        process.unreadOutcomes.emplace_back(number, outcome);
    else if (outcome == RunOutcome::Finished)
        recordStarts(index, process.ledger->onFinished(number, now));
    else if (outcome == RunOutcome::ConnectionLost)
        recordStarts(index, process.ledger->onConnectionLost(number, now));
    else
        recordStarts(index, process.ledger->onCancelled(number, now));
}

void HomeModel::kill(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.isAlive)
        return;
    process.isAlive = false;
    for (Run& run : m_runs) {
        if (run.processIndex == index && !run.closedAt)
            run.closedAt = RuntimeClock::now();
    }
    addProcess(process.view.self.value());
}

bool HomeModel::isConfirmedStopped(const Process& process) const
{
    if (!process.isAlive)
        return true;
    const bool isReachable = !process.isFrozen && !process.isCutOff;
    const bool hasSeenSuccessor = process.view.epoch >= m_cell.homes.at(serverId).since
        && !ownAssignment(process.view, serverId);
    return isReachable && hasSeenSuccessor && process.ledger->inFlight() == 0;
}

std::size_t HomeModel::findProcess(const std::string& incarnation) const
{
    const auto found = std::find_if(m_processes.begin(), m_processes.end(),
        [&](const Process& process) { return process.view.incarnation == incarnation; });
    return static_cast<std::size_t>(found - m_processes.begin());
}

// The writer records at most one unconfirmed home. Until that one is confirmed, it moves the
// assignment only if the current home is dead.
void HomeModel::reassign(std::size_t index)
{
    HomeAssignment& assignment = m_cell.homes[serverId];
    if (!assignment.unconfirmedHome.empty()
        && isConfirmedStopped(m_processes[findProcess(assignment.unconfirmedIncarnation)])) {
        assignment.unconfirmedHome = HostId();
        assignment.unconfirmedIncarnation.clear();
        ++m_epoch;
    }
    const Process& previous = m_processes[m_homeIndex];
    if (index == m_homeIndex || (previous.isAlive && !assignment.unconfirmedHome.empty()))
        return;
    if (previous.isAlive) {
        assignment.unconfirmedHome = previous.view.self;
        assignment.unconfirmedIncarnation = previous.view.incarnation;
    }
    assignment.home = m_processes[index].view.self;
    assignment.incarnation = m_processes[index].view.incarnation;
    assignment.since = ++m_epoch;
    m_homeIndex = index;
}

void HomeModel::finishRun(int choice)
{
    if (m_runs.empty())
        return;
    const auto chosen = m_runs.begin() + choice % static_cast<int>(m_runs.size());
    const Run run = *chosen;
    if (run.closedAt)
        return;
    m_runs.erase(chosen);
    ++m_finishedSinceCold;
    deliverOutcome(run.processIndex, run.number, RunOutcome::Finished);
}

void HomeModel::cancelRun(int choice)
{
    if (m_runs.empty())
        return;
    Run& run = m_runs[static_cast<std::size_t>(choice) % m_runs.size()];
    if (!m_processes[run.processIndex].isRunning() || run.closedAt)
        return;
    run.closedAt = RuntimeClock::now();
    deliverOutcome(run.processIndex, run.number, RunOutcome::TimedOut);
}

void HomeModel::crashServer()
{
    m_finishedSinceCold = 0;
    ++m_serverIncarnation;
    m_crashedAt = RuntimeClock::now();
    const std::vector<Run> lostRuns = std::move(m_runs);
    m_runs.clear();
    for (const Run& run : lostRuns) {
        if (!run.closedAt)
            deliverOutcome(run.processIndex, run.number, RunOutcome::ConnectionLost);
    }
}

std::string HomeModel::reportedIncarnation() const
{
    const bool isReported = RuntimeClock::now() >= m_crashedAt + reportLag;
    return std::to_string(isReported ? m_serverIncarnation : m_serverIncarnation - 1);
}

void HomeModel::setOutOfService(bool isOutOfService)
{
    auto next = std::make_shared<Catalogue>(*m_catalogue);
    next->domains[serverDomain] = isOutOfService ? ServiceState::Out : ServiceState::In;
    m_previousCatalogue = m_catalogue;
    m_catalogue = next;
    m_catalogueChangedAt = RuntimeClock::now();
    if (!isOutOfService)
        m_outOfServiceSince.reset();
    else if (!m_outOfServiceSince)
        m_outOfServiceSince = RuntimeClock::now();
}

std::shared_ptr<const Catalogue> HomeModel::relayedCatalogue() const
{
    const bool hasReachedProcesses = RuntimeClock::now() >= m_catalogueChangedAt + relayDelay;
    return hasReachedProcesses ? m_catalogue : m_previousCatalogue;
}

void HomeModel::releasePredecessors(Process& home)
{
    if (!home.ledger->takeover())
        return;
    for (const Predecessor& predecessor : home.ledger->takeover()->unconfirmed()) {
        Process& previousHome = m_processes[findProcess(predecessor.incarnation)];
        if (!previousHome.isAlive) {
            home.ledger->takeover()->onPredecessorGone(predecessor, RuntimeClock::now());
        } else if (!previousHome.isFrozen && !previousHome.isCutOff && !home.isCutOff) {
            const std::vector<Predecessor> unresolved = previousHome.ledger->unresolved();
            const int inFlight = previousHome.ledger->release(home.ledger->since());
            home.ledger->takeover()->onPredecessorStopped(
                predecessor, inFlight, unresolved, RuntimeClock::now());
        }
    }
}

void HomeModel::pollHealth(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.isRunning())
        return;
    const TimePoint now = RuntimeClock::now();
    releasePredecessors(process);
    recordStarts(index, process.ledger->onView(process.view, serverId, now));
    recordStarts(index,
        process.ledger->onReport({ .incarnation = reportedIncarnation() }, now, now));
}

void HomeModel::advanceTime(Duration time)
{
    RuntimeClock::advance(time);
    endExpiredRuns();
    updateViews();
}

void HomeModel::updateViews()
{
    const TimePoint now = RuntimeClock::now();
    const auto cell = std::make_shared<const CellState>(m_cell);
    for (Process& process : m_processes) {
        if (!process.isRunning() || process.isCutOff)
            continue;
        process.view.cell = cell;
        process.view.catalogue = relayedCatalogue();
        process.view.epoch = m_epoch;
        process.view.permittedUntil = now + takeoverOptions.evidenceTime;
        process.view.acknowledgedEpoch = m_epoch;
    }
}

void HomeModel::endExpiredRuns()
{
    const TimePoint now = RuntimeClock::now();
    std::vector<Run> overdueRuns;
    std::erase_if(m_runs, [&](const Run& run) {
        const bool isOverdue = now >= run.startedAt + takeoverOptions.longestAttempt;
        if (isOverdue && !run.closedAt)
            overdueRuns.push_back(run);
        return isOverdue || (run.closedAt && now >= *run.closedAt + takeoverOptions.drainTime);
    });
    for (const Run& run : overdueRuns)
        deliverOutcome(run.processIndex, run.number, RunOutcome::TimedOut);
}
