#include "homemodel.h"

#include <algorithm>

using namespace Apricot;

namespace {

const BackendServerId serverId { "server" };
const FailureDomainId serverDomain { "domain" };
constexpr TakeoverOptions takeoverOptions { .evidenceTime = Milliseconds(3000),
    .drainTime = Milliseconds(500),
    .longestAttempt = Milliseconds(10000) };
// Oldest catalogue on which a process can have been given its permission.
constexpr Duration relayDelay = Milliseconds(1000);
// How old the server's own report of its incarnation can be.
constexpr Duration reportLag = Milliseconds(700);
// Longer than every wait of a take-over from a frozen process.
constexpr Duration longPause = Milliseconds(14000);
// Most calls that one step submits or finishes.
constexpr int burst = 6;
constexpr int tokensPerStep = 4;
constexpr Duration coldStep = Milliseconds(25);
constexpr Duration warmStep = Milliseconds(10);
constexpr int warmCap = 6;
constexpr int hosts = 4;

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
    m_catalogueBefore = catalogue;
    for (int host = 0; host < hosts; ++host)
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

std::size_t HomeModel::pick(int number) const
{
    std::vector<std::size_t> living;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes[index].isAlive)
            living.push_back(index);
    }
    return living[static_cast<std::size_t>(number) % living.size()];
}

void HomeModel::apply(const ModelStep& step)
{
    const std::size_t index = pick(step.process);
    switch (step.kind) {
    case 0:
        for (int call = 0; call <= step.amount % burst; ++call) {
            submit(m_home);
            send(m_home, false);
        }
        break;
    case 2:
        submit(m_home);
        break;
    case 3:
        send(step.amount % 2 ? index : m_home, false);
        break;
    case 4:
        submit(m_home);
        send(m_home, true);
        break;
    case 5:
        m_processes[step.amount % 2 ? index : m_home].isFrozen = true;
        break;
    case 6:
        thaw(index);
        break;
    case 7:
        kill(step.amount % 3 ? index : m_home);
        break;
    case 8:
        reassign(index);
        break;
    case 9:
        for (int call = 0; call <= step.amount % burst; ++call)
            finishOne(step.amount);
        break;
    case 10:
        cancelOne(step.amount);
        break;
    case 11:
        crashServer();
        break;
    case 12:
        setService(step.amount % 4 == 0);
        break;
    case 13:
        m_processes[index].isCutOff = !m_processes[index].isCutOff;
        break;
    case 14:
        passTime(longPause);
        break;
    default:
        passTime(Milliseconds(step.amount % 4000));
    }
    passTime(Milliseconds(10));
    stepRuns();
    for (std::size_t other = 0; other < m_processes.size(); ++other)
        pollHealth(other);
}

bool HomeModel::isCold() const
{
    return m_finishedSinceCold < m_requestsToWarm;
}

// Every run that a home still reads produces a few tokens.
void HomeModel::stepRuns()
{
    for (const Run& run : m_runs) {
        Process& process = m_processes[run.process];
        if (!process.isRunning() || run.closedAt)
            continue;
        for (int token = 0; token < tokensPerStep; ++token)
            process.ledger->onStep(run.number, isCold() ? coldStep : warmStep);
    }
}

void HomeModel::submit(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.isRunning())
        return;
    keep(index,
        process.ledger->submit(
            m_nextNumber++, { .budget = Milliseconds(60000) }, RuntimeClock::now()));
}

void HomeModel::keep(std::size_t index, const LedgerActions& actions)
{
    for (const LedgerAction& action : actions) {
        if (const auto* start = std::get_if<StartAction>(&action))
            m_processes[index].reserved.push_back(start->number);
    }
}

void HomeModel::send(std::size_t index, bool freezeBeforeWrite)
{
    Process& process = m_processes[index];
    if (!process.isRunning() || process.reserved.empty())
        return;
    const CallNumber number = process.reserved.front();
    process.reserved.erase(process.reserved.begin());
    if (!process.ledger->confirmStart(number, process.view, serverId, RuntimeClock::now()))
        return keep(index, process.ledger->advance(RuntimeClock::now()));
    if (!freezeBeforeWrite)
        return write(index, number, false);
    process.checked = number;
    process.isFrozen = true;
}

void HomeModel::write(std::size_t index, CallNumber number, bool wasHeldUp)
{
    const TimePoint now = RuntimeClock::now();
    endRuns();
    if (isCold() && static_cast<int>(m_runs.size()) >= m_coldCap)
        ++m_coldViolations;
    if (!wasHeldUp && m_processes[index].ledger->cap() > m_coldCap + m_finishedSinceCold)
        ++m_capOverFinishedWork;
    if (m_outSince && !wasHeldUp)
        m_longestLateStart = std::max(m_longestLateStart, now - *m_outSince);
    m_runs.push_back({ .process = index, .number = number, .startedAt = now });
    ++m_started;
}

void HomeModel::thaw(std::size_t index)
{
    Process& process = m_processes[index];
    process.isFrozen = false;
    if (process.checked)
        write(index, *process.checked, true);
    process.checked.reset();
    for (const auto& [number, ending] : process.unread)
        tell(index, number, ending);
    process.unread.clear();
    // It goes on as if nothing had happened, before it hears from anyone.
    send(index, false);
}

void HomeModel::tell(std::size_t index, CallNumber number, Ending ending)
{
    Process& process = m_processes[index];
    const TimePoint now = RuntimeClock::now();
    if (!process.isAlive)
        return;
    if (process.isFrozen)
        process.unread.emplace_back(number, ending);
    else if (ending == Ending::Finished)
        keep(index, process.ledger->onFinished(number, now));
    else if (ending == Ending::Lost)
        keep(index, process.ledger->onConnectionLost(number, now));
    else
        keep(index, process.ledger->onCancelled(number, now));
}

void HomeModel::kill(std::size_t index)
{
    Process& process = m_processes[index];
    if (!process.isAlive)
        return;
    process.isAlive = false;
    for (Run& run : m_runs) {
        if (run.process == index && !run.closedAt)
            run.closedAt = RuntimeClock::now();
    }
    addProcess(process.view.self.value());
}

bool HomeModel::isConfirmed(const Process& process) const
{
    if (!process.isAlive)
        return true;
    const bool isHeard = !process.isFrozen && !process.isCutOff;
    const bool knowsSuccessor = process.view.epoch >= m_cell.homes.at(serverId).since
        && !ownAssignment(process.view, serverId);
    return isHeard && knowsSuccessor && process.ledger->inFlight() == 0;
}

std::size_t HomeModel::findProcess(const std::string& incarnation) const
{
    const auto found = std::find_if(m_processes.begin(), m_processes.end(),
        [&](const Process& process) { return process.view.incarnation == incarnation; });
    return static_cast<std::size_t>(found - m_processes.begin());
}

// The writer records one unconfirmed home, and waits for it before it names another.
void HomeModel::reassign(std::size_t index)
{
    HomeAssignment& assignment = m_cell.homes[serverId];
    if (!assignment.unconfirmedHome.empty()
        && isConfirmed(m_processes[findProcess(assignment.unconfirmedIncarnation)])) {
        assignment.unconfirmedHome = HostId();
        assignment.unconfirmedIncarnation.clear();
        ++m_epoch;
    }
    const Process& previous = m_processes[m_home];
    if (index == m_home || (previous.isAlive && !assignment.unconfirmedHome.empty()))
        return;
    if (previous.isAlive) {
        assignment.unconfirmedHome = previous.view.self;
        assignment.unconfirmedIncarnation = previous.view.incarnation;
    }
    assignment.home = m_processes[index].view.self;
    assignment.incarnation = m_processes[index].view.incarnation;
    assignment.since = ++m_epoch;
    m_home = index;
}

void HomeModel::finishOne(int choice)
{
    if (m_runs.empty())
        return;
    const auto chosen = m_runs.begin() + choice % static_cast<int>(m_runs.size());
    const Run run = *chosen;
    if (run.closedAt)
        return;
    m_runs.erase(chosen);
    ++m_finishedSinceCold;
    tell(run.process, run.number, Ending::Finished);
}

void HomeModel::cancelOne(int choice)
{
    if (m_runs.empty())
        return;
    Run& run = m_runs[static_cast<std::size_t>(choice) % m_runs.size()];
    if (!m_processes[run.process].isRunning() || run.closedAt)
        return;
    run.closedAt = RuntimeClock::now();
    tell(run.process, run.number, Ending::TimedOut);
}

void HomeModel::crashServer()
{
    m_finishedSinceCold = 0;
    ++m_incarnation;
    m_crashedAt = RuntimeClock::now();
    const std::vector<Run> lost = std::move(m_runs);
    m_runs.clear();
    for (const Run& run : lost) {
        if (!run.closedAt)
            tell(run.process, run.number, Ending::Lost);
    }
}

std::string HomeModel::reportedIncarnation() const
{
    const bool isReported = RuntimeClock::now() >= m_crashedAt + reportLag;
    return std::to_string(isReported ? m_incarnation : m_incarnation - 1);
}

void HomeModel::setService(bool isOut)
{
    auto next = std::make_shared<Catalogue>(*m_catalogue);
    next->domains[serverDomain] = isOut ? ServiceState::Out : ServiceState::In;
    m_catalogueBefore = m_catalogue;
    m_catalogue = next;
    m_catalogueChangedAt = RuntimeClock::now();
    if (!isOut)
        m_outSince.reset();
    else if (!m_outSince)
        m_outSince = RuntimeClock::now();
}

std::shared_ptr<const Catalogue> HomeModel::relayedCatalogue() const
{
    const bool isRelayed = RuntimeClock::now() >= m_catalogueChangedAt + relayDelay;
    return isRelayed ? m_catalogue : m_catalogueBefore;
}

void HomeModel::askPredecessors(Process& home)
{
    if (!home.ledger->takeover())
        return;
    for (const Predecessor& predecessor : home.ledger->takeover()->unconfirmed()) {
        Process& asked = m_processes[findProcess(predecessor.incarnation)];
        if (!asked.isAlive) {
            home.ledger->takeover()->onPredecessorGone(predecessor, RuntimeClock::now());
        } else if (!asked.isFrozen && !asked.isCutOff && !home.isCutOff) {
            const std::vector<Predecessor> unresolved = asked.ledger->unresolved();
            const int inFlight = asked.ledger->release(home.ledger->since());
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
    askPredecessors(process);
    keep(index, process.ledger->onView(process.view, serverId, now));
    keep(index,
        process.ledger->onReport({ .incarnation = reportedIncarnation() }, now, now));
}

void HomeModel::passTime(Duration time)
{
    RuntimeClock::advance(time);
    endRuns();
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

void HomeModel::endRuns()
{
    const TimePoint now = RuntimeClock::now();
    std::vector<Run> late;
    std::erase_if(m_runs, [&](const Run& run) {
        const bool isLate = now >= run.startedAt + takeoverOptions.longestAttempt;
        if (isLate && !run.closedAt)
            late.push_back(run);
        return isLate || (run.closedAt && now >= *run.closedAt + takeoverOptions.drainTime);
    });
    for (const Run& run : late)
        tell(run.process, run.number, Ending::TimedOut);
}
