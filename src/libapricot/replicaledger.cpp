#include "libapricot/replicaledger.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    constexpr Milliseconds minRetryDelay { 50 };
    constexpr Milliseconds defaultRetryDelay { 1000 };
    constexpr double serviceTimeWeight = 0.1;

    Milliseconds roundUpRetryDelay(Duration duration)
    {
        return std::max(minRetryDelay, std::chrono::ceil<Milliseconds>(duration));
    }

}

ReplicaLedger::ReplicaLedger(ReplicaLedgerOptions options)
    : m_options(options)
    , m_capacity(options.capacity)
    , m_queue(options.queueLimit)
{
}

LedgerActions ReplicaLedger::onView(
    const ControlView& view, const BackendServerId& server, TimePoint now)
{
    const HomeAssignment* assignment = ownAssignment(view, server);
    const bool isHome = assignment && assignment->since > m_releasedUpTo;
    if (isHome && assignment->since != m_since)
        beginTakeover(*assignment, now);
    if (!isHome)
        endTakeover();
    if (m_takeover && view.acknowledgedEpoch >= m_since)
        m_takeover->onEpochAcknowledged(now);
    if (m_takeover && predecessorsOf(*assignment).empty())
        m_takeover->onCellConfirmed(now);
    m_condition = isHome ? startCondition(view, server, now) : StartCondition::NotHome;
    return advance(now);
}

LedgerActions ReplicaLedger::submit(
    CallNumber number, const SlotRequest& request, TimePoint now)
{
    LedgerActions actions;
    const WaitingCall call { .serviceClass = request.serviceClass,
        .startBy = now + request.budget - m_meanServiceTime,
        .number = number,
        .isExclusive = request.isExclusive };
    const std::optional<Duration> takeoverWait = waitForTakeover(now);
    const bool isInfeasible = m_condition != StartCondition::Allowed || !takeoverWait
        || now + *takeoverWait + estimateWait(call) >= call.startBy;
    if (isInfeasible) {
        actions.emplace_back(RejectAction { number, retryAfter(now) });
        return actions;
    }
    if (const std::optional<WaitingCall> dropped = m_queue.push(call))
        actions.emplace_back(RejectAction { dropped->number, retryAfter(now) });
    startWaiting(actions);
    return actions;
}

bool ReplicaLedger::confirmStart(CallNumber number, const ControlView& view,
    const BackendServerId& server, TimePoint now)
{
    const auto found = m_slots.find(number);
    if (found == m_slots.end() || !std::holds_alternative<Reserved>(found->second.state))
        return false;
    const HomeAssignment* assignment = ownAssignment(view, server);
    const std::optional<int> reservedCapacity = m_takeover ? m_takeover->reservedCapacity() : std::nullopt;
    const bool isAllowed = startCondition(view, server, now) == StartCondition::Allowed
        && assignment->since == m_since && m_since > m_releasedUpTo && reservedCapacity
        && countSent() + *reservedCapacity < cap();
    if (!isAllowed) {
        m_slots.erase(found);
        return false;
    }
    found->second.state = Sent { .at = now, .coldStart = m_capacity.coldStarts() };
    return true;
}

LedgerActions ReplicaLedger::onFinished(CallNumber number, TimePoint now)
{
    const auto found = m_slots.find(number);
    if (found == m_slots.end())
        return {};
    if (const auto* sent = std::get_if<Sent>(&found->second.state)) {
        const Duration serviceTime = now - sent->at;
        m_meanServiceTime += m_meanServiceTime == Duration::zero()
            ? serviceTime
            : Duration(static_cast<Duration::rep>(
                static_cast<double>((serviceTime - m_meanServiceTime).count())
                * serviceTimeWeight));
        if (sent->coldStart == m_capacity.coldStarts())
            m_capacity.onFinished();
    }
    m_slots.erase(found);
    return processQueue(now);
}

LedgerActions ReplicaLedger::onRefused(CallNumber number, TimePoint now)
{
    m_slots.erase(number);
    m_capacity.onRefused(countSent());
    return processQueue(now);
}

LedgerActions ReplicaLedger::onFailed(CallNumber number, TimePoint now)
{
    m_slots.erase(number);
    return processQueue(now);
}

LedgerActions ReplicaLedger::onCancelled(CallNumber number, TimePoint now)
{
    m_queue.erase(number);
    closeSlot(number, now);
    return processQueue(now);
}

LedgerActions ReplicaLedger::onConnectionLost(CallNumber number, TimePoint now)
{
    closeSlot(number, now);
    resetToCold();
    return processQueue(now);
}

LedgerActions ReplicaLedger::onServerGone(TimePoint now)
{
    std::erase_if(m_slots, [](const auto& entry) {
        return std::holds_alternative<Closing>(entry.second.state);
    });
    resetToCold();
    return processQueue(now);
}

void ReplicaLedger::onStep(CallNumber number, Duration step)
{
    const auto found = m_slots.find(number);
    if (found == m_slots.end() || m_capacity.isCold())
        return;
    const auto* sent = std::get_if<Sent>(&found->second.state);
    if (!sent || sent->coldStart != m_capacity.coldStarts())
        return;
    const StepSpeed speed = m_stepBaseline.recordStep(step);
    if (speed == StepSpeed::Slowdown)
        resetToCold();
    if (speed == StepSpeed::Normal)
        m_isSpeedConfirmed = true;
}

LedgerActions ReplicaLedger::onReport(
    const ServerReport& report, TimePoint requestSentAt, TimePoint now)
{
    if (report.incarnation != m_serverIncarnation) {
        if (!m_serverIncarnation.empty())
            resetToCold();
        m_serverIncarnation = report.incarnation;
    }
    const TimePoint noticedUpTo = requestSentAt - m_options.takeover.drainTime;
    std::erase_if(m_slots, [noticedUpTo](const auto& entry) {
        const auto* closing = std::get_if<Closing>(&entry.second.state);
        return closing && closing->closedAt <= noticedUpTo;
    });
    if (m_takeover)
        m_takeover->onServerResponded(requestSentAt);
    else if (m_lastTakeover)
        m_lastTakeover->onServerResponded(requestSentAt);
    return advance(now);
}

LedgerActions ReplicaLedger::advance(TimePoint now)
{
    if (m_takeover)
        m_takeover->advance(now);
    return processQueue(now);
}

int ReplicaLedger::release(ObjectVersion since)
{
    if (since > 0)
        m_releasedUpTo = std::max(m_releasedUpTo, since - 1);
    if (m_since <= m_releasedUpTo)
        endTakeover();
    return countSent();
}

void ReplicaLedger::inheritCapacity(
    int cap, Duration normalStepTime, const std::string& serverIncarnation)
{
    const bool isSameProcess
        = !serverIncarnation.empty() && serverIncarnation == m_serverIncarnation;
    if (!isSameProcess || !m_capacity.isCold() || normalStepTime == Duration::zero())
        return;
    m_capacity.inheritCap(cap);
    m_stepBaseline.inherit(normalStepTime);
}

void ReplicaLedger::setCapacityOptions(ServerCapacityOptions options)
{
    if (options == m_options.capacity)
        return;
    m_options.capacity = options;
    m_capacity.setOptions(options);
}

int ReplicaLedger::cap() const
{
    return m_isSpeedConfirmed ? m_capacity.cap()
                              : std::min(m_capacity.cap(), std::max(1, m_options.capacity.coldCap));
}

int ReplicaLedger::inFlight() const
{
    return static_cast<int>(m_slots.size());
}

Milliseconds ReplicaLedger::retryAfter(TimePoint now) const
{
    if (m_condition != StartCondition::Allowed)
        return defaultRetryDelay;
    const std::optional<Duration> takeoverWait = waitForTakeover(now);
    if (!takeoverWait)
        return defaultRetryDelay;
    const auto waiting = static_cast<double>(m_queue.size() + 1) / cap();
    return roundUpRetryDelay(*takeoverWait
        + Duration(static_cast<Duration::rep>(
            static_cast<double>(m_meanServiceTime.count()) * waiting)));
}

bool ReplicaLedger::hasCapacity(bool isExclusive) const
{
    if (m_condition != StartCondition::Allowed || !m_takeover)
        return false;
    const std::optional<int> reservedCapacity = m_takeover->reservedCapacity();
    if (!reservedCapacity)
        return false;
    const int used = inFlight() + *reservedCapacity;
    if (isExclusive)
        return used == 0;
    const bool isExclusiveCallRunning = std::any_of(m_slots.begin(), m_slots.end(),
        [](const auto& entry) { return entry.second.isExclusive; });
    return !isExclusiveCallRunning && used < cap();
}

int ReplicaLedger::countSent() const
{
    return static_cast<int>(std::count_if(m_slots.begin(), m_slots.end(), [](const auto& entry) {
        return !std::holds_alternative<Reserved>(entry.second.state);
    }));
}

void ReplicaLedger::startWaiting(LedgerActions& actions)
{
    while (const WaitingCall* next = m_queue.front()) {
        if (!hasCapacity(next->isExclusive))
            return;
        m_slots.emplace(next->number, Slot { .state = Reserved {}, .isExclusive = next->isExclusive });
        actions.emplace_back(StartAction { next->number });
        m_queue.popFront();
    }
}

void ReplicaLedger::rejectAll(LedgerActions& actions, TimePoint now)
{
    for (const WaitingCall& call : m_queue.removeAll())
        actions.emplace_back(RejectAction { call.number, retryAfter(now) });
}

void ReplicaLedger::rejectExpired(LedgerActions& actions, TimePoint now)
{
    for (const WaitingCall& call : m_queue.removeExpired(now))
        actions.emplace_back(RejectAction { call.number, retryAfter(now) });
}

void ReplicaLedger::beginTakeover(const HomeAssignment& assignment, TimePoint now)
{
    const std::vector<Predecessor> earlier = unresolved();
    m_since = assignment.since;
    m_takeover.emplace(m_options.takeover, predecessorsOf(assignment), now);
    m_takeover->addUnresolved(earlier, now);
}

void ReplicaLedger::endTakeover()
{
    if (m_takeover)
        m_lastTakeover = std::move(m_takeover);
    m_takeover.reset();
    m_since = 0;
    m_condition = StartCondition::NotHome;
}

std::vector<Predecessor> ReplicaLedger::unresolved() const
{
    if (m_takeover)
        return m_takeover->unresolved();
    return m_lastTakeover ? m_lastTakeover->unresolved() : std::vector<Predecessor>();
}

// Without an open connection a restart of the server goes unnoticed, so the steps that follow must
// not establish the normal step duration.
void ReplicaLedger::resetSpeedWhenIdle()
{
    const bool hasOpenCall = std::any_of(m_slots.begin(), m_slots.end(),
        [](const auto& entry) { return std::holds_alternative<Sent>(entry.second.state); });
    m_isSpeedConfirmed = m_isSpeedConfirmed && hasOpenCall;
    if (!hasOpenCall && !m_capacity.isCold() && m_stepBaseline.normal() == Duration::zero())
        resetToCold();
}

void ReplicaLedger::resetToCold()
{
    m_capacity.resetToCold();
    m_isSpeedConfirmed = false;
    m_stepBaseline.reset();
}

void ReplicaLedger::closeSlot(CallNumber number, TimePoint now)
{
    const auto found = m_slots.find(number);
    if (found == m_slots.end())
        return;
    if (std::holds_alternative<Reserved>(found->second.state))
        m_slots.erase(found);
    else if (std::holds_alternative<Sent>(found->second.state))
        found->second.state = Closing { .closedAt = now };
}

Duration ReplicaLedger::estimateWait(const WaitingCall& call) const
{
    const auto ahead = static_cast<long>(m_queue.countBefore(call)) + inFlight() + 1;
    const long excess = std::max<long>(0, ahead - cap());
    return m_meanServiceTime * excess / cap();
}

std::optional<Duration> ReplicaLedger::waitForTakeover(TimePoint now) const
{
    if (!m_takeover)
        return std::nullopt;
    if (m_takeover->reservedCapacity())
        return Duration::zero();
    const std::optional<TimePoint> start = m_takeover->earliestStart();
    if (!start)
        return std::nullopt;
    return std::max(Duration::zero(), *start - now);
}

LedgerActions ReplicaLedger::processQueue(TimePoint now)
{
    resetSpeedWhenIdle();
    LedgerActions actions;
    if (m_condition != StartCondition::Allowed)
        rejectAll(actions, now);
    rejectExpired(actions, now);
    startWaiting(actions);
    return actions;
}

}
