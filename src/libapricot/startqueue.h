#pragma once

#include "libapricot/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

// Number that identifies a call in a ledger while it waits and runs.
using CallNumber = std::uint64_t;

// A call that waits for a slot on a server. Calls are ordered by service class, then by slack. All
// calls of one server take about the same time, so the call that must start first has the least
// slack.
struct WaitingCall {
    ServiceClass serviceClass = ServiceClass::Standard;
    // Time after which the call can no longer meet its deadline.
    TimePoint startBy;
    CallNumber number = 0;
    // Whether the call must be the only one on its server.
    bool isExclusive = false;

    auto operator<=>(const WaitingCall&) const = default;
};

// Bounded queue of waiting calls in order of service.
class StartQueue {
public:
    explicit StartQueue(std::size_t limit);

    // Adds a call. If the queue is full, the last call in order is removed and returned, which may
    // be the new call itself.
    std::optional<WaitingCall> push(const WaitingCall& call);
    const WaitingCall* front() const;
    void popFront();
    void erase(CallNumber number);
    // Removes and returns all calls that can no longer start in time.
    std::vector<WaitingCall> removeExpired(TimePoint now);
    // Removes and returns every call.
    std::vector<WaitingCall> removeAll();
    // Number of waiting calls that would be served before the given one.
    std::size_t countBefore(const WaitingCall& call) const;
    std::size_t size() const { return m_calls.size(); }
    // Time at which the next waiting call expires.
    std::optional<TimePoint> nextExpiry() const;

private:
    std::size_t m_limit;
    std::set<WaitingCall> m_calls;
};

}
