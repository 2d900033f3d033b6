#include "libapricot/hometakeover.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    template <typename... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };

    template <typename... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

    std::optional<int> reservedIn(const PredecessorState& state)
    {
        return std::visit(
            Overloaded {
                [](const OneRequestReserved&) { return std::optional<int>(1); },
                [](const HandedOver& handedOver) { return std::optional<int>(handedOver.inFlight); },
                [](const AwaitingDrain& drain) { return drain.inFlight; },
                [](const Released&) { return std::optional<int>(0); },
                [](const auto&) { return std::optional<int>(); },
            },
            state);
    }

    bool isReleased(const PredecessorState& state)
    {
        return std::holds_alternative<Released>(state);
    }

    bool isStopped(const PredecessorState& state)
    {
        return isReleased(state) || std::holds_alternative<HandedOver>(state)
            || std::holds_alternative<AwaitingDrain>(state);
    }

    PredecessorState advanceState(
        const PredecessorState& state, const TakeoverOptions& options, TimePoint now)
    {
        return std::visit(
            Overloaded {
                [&](const AwaitingLeaseExpiry& expiry) -> PredecessorState {
                    if (now < expiry.until)
                        return expiry;
                    return AwaitingLongestAttempt { .until = now + options.longestAttempt };
                },
                [&](const AwaitingLongestAttempt& attempt) -> PredecessorState {
                    if (now < attempt.until)
                        return attempt;
                    return OneRequestReserved {};
                },
                [](const auto& other) -> PredecessorState { return other; },
            },
            state);
    }

    std::optional<TimePoint> earliestStartIn(
        const PredecessorState& state, const TakeoverOptions& options)
    {
        if (const auto* expiry = std::get_if<AwaitingLeaseExpiry>(&state))
            return expiry->until + options.longestAttempt;
        if (const auto* attempt = std::get_if<AwaitingLongestAttempt>(&state))
            return attempt->until;
        if (const auto* drain = std::get_if<AwaitingDrain>(&state))
            return drain->goneAt + options.drainTime;
        return std::nullopt;
    }

}

std::vector<Predecessor> predecessorsOf(const HomeAssignment& assignment)
{
    std::vector<Predecessor> predecessors;
    const bool isSameProcess = assignment.unconfirmedHome == assignment.home
        && assignment.unconfirmedIncarnation == assignment.incarnation;
    if (!assignment.unconfirmedHome.empty() && !isSameProcess)
        predecessors.push_back({ .host = assignment.unconfirmedHome,
            .incarnation = assignment.unconfirmedIncarnation });
    return predecessors;
}

HomeTakeover::HomeTakeover(
    TakeoverOptions options, const std::vector<Predecessor>& predecessors, TimePoint now)
    : m_options(options)
{
    for (const Predecessor& predecessor : predecessors)
        m_entries.push_back({ predecessor, AwaitingMajority {}, true });
    add({}, now);
}

void HomeTakeover::onEpochAcknowledged(TimePoint now)
{
    for (Entry& entry : m_entries) {
        if (std::holds_alternative<AwaitingMajority>(entry.state))
            entry.state = AwaitingLeaseExpiry { .until = now + m_options.evidenceTime };
    }
}

void HomeTakeover::onPredecessorGone(const Predecessor& predecessor, TimePoint now)
{
    Entry* entry = find(predecessor);
    if (!entry || isReleased(entry->state) || std::holds_alternative<AwaitingDrain>(entry->state))
        return;
    entry->state = AwaitingDrain { .goneAt = now, .inFlight = reservedIn(entry->state) };
}

void HomeTakeover::onCellConfirmed(TimePoint now)
{
    for (const Entry& entry : std::vector<Entry>(m_entries)) {
        if (entry.isNamedByCell)
            onPredecessorGone(entry.predecessor, now);
    }
}

void HomeTakeover::onPredecessorStopped(const Predecessor& predecessor, int inFlight,
    const std::vector<Predecessor>& unresolved, TimePoint now)
{
    Entry* entry = find(predecessor);
    if (!entry || isReleased(entry->state) || std::holds_alternative<AwaitingDrain>(entry->state))
        return;
    if (inFlight == 0)
        entry->state = Released {};
    else
        entry->state = HandedOver { .inFlight = inFlight };
    addUnresolved(unresolved, now);
}

void HomeTakeover::addUnresolved(const std::vector<Predecessor>& predecessors, TimePoint now)
{
    for (const Predecessor& predecessor : predecessors)
        add(predecessor, now);
}

void HomeTakeover::onServerResponded(TimePoint requestSentAt)
{
    for (Entry& entry : m_entries) {
        const auto* drain = std::get_if<AwaitingDrain>(&entry.state);
        if (drain && requestSentAt >= drain->goneAt + m_options.drainTime)
            entry.state = Released {};
    }
}

void HomeTakeover::advance(TimePoint now)
{
    for (Entry& entry : m_entries) {
        // Both waits may have ended while this process was suspended, but the second one starts
        // only when the first is seen to end: waiting too long is safe.
        entry.state = advanceState(entry.state, m_options, now);
    }
}

std::optional<int> HomeTakeover::reservedCapacity() const
{
    int sum = 0;
    for (const Entry& entry : m_entries) {
        const std::optional<int> reserved = reservedIn(entry.state);
        if (!reserved)
            return std::nullopt;
        sum += *reserved;
    }
    return sum;
}

bool HomeTakeover::haveAllPredecessorsStopped() const
{
    return std::all_of(m_entries.begin(), m_entries.end(),
        [](const Entry& entry) { return isStopped(entry.state); });
}

std::vector<Predecessor> HomeTakeover::unresolved() const
{
    std::vector<Predecessor> predecessors;
    for (const Entry& entry : m_entries) {
        if (!isReleased(entry.state))
            predecessors.push_back(entry.predecessor);
    }
    return predecessors;
}

std::vector<Predecessor> HomeTakeover::unconfirmed() const
{
    std::vector<Predecessor> predecessors;
    for (const Entry& entry : m_entries) {
        if (!isReleased(entry.state) && !std::holds_alternative<AwaitingDrain>(entry.state))
            predecessors.push_back(entry.predecessor);
    }
    return predecessors;
}

std::optional<TimePoint> HomeTakeover::earliestStart() const
{
    std::optional<TimePoint> latest;
    for (const Entry& entry : m_entries) {
        if (reservedIn(entry.state))
            continue;
        const std::optional<TimePoint> start = earliestStartIn(entry.state, m_options);
        if (!start)
            return std::nullopt;
        latest = std::max(latest.value_or(*start), *start);
    }
    return latest;
}

HomeTakeover::Entry* HomeTakeover::find(const Predecessor& predecessor)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
        [&predecessor](const Entry& entry) { return entry.predecessor == predecessor; });
    return found == m_entries.end() ? nullptr : &*found;
}

void HomeTakeover::add(const Predecessor& predecessor, TimePoint now)
{
    const Entry* known = find(predecessor);
    const bool isUnnamed = predecessor.host.empty();
    if (known && (!isUnnamed || !isReleased(known->state)))
        return;
    if (isUnnamed)
        m_entries.push_back({ predecessor, AwaitingDrain { .goneAt = now } });
    else
        m_entries.push_back({ predecessor, AwaitingMajority {} });
}

}
