#pragma once

#include "libapricot/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

// Number that a ledger gives to a call while it waits and runs.
using CallNumber = std::uint64_t;

// A call that waits for a place on a server. The order is that of service: by class, then by slack.
// All calls of one server take about as long, so the one that must start first has least slack.
struct WaitingCall {
    ServiceClass serviceClass = ServiceClass::Standard;
    // Instant after which starting is of no use.
    TimePoint startBy;
    CallNumber number = 0;
    // Whether the call must be the only one on its server.
    bool alone = false;

    auto operator<=>(const WaitingCall&) const = default;
};

// Bounded queue of waiting calls in order of service.
class StartQueue {
public:
    explicit StartQueue(std::size_t limit);

    // Adds a call. When the queue is full the last in order is dropped and returned, which may be
    // the new call itself.
    std::optional<WaitingCall> push(const WaitingCall& call);
    const WaitingCall* front() const;
    void popFront();
    void erase(CallNumber number);
    // Removes and returns every call that can't start in time any more.
    std::vector<WaitingCall> removeExpired(TimePoint now);
    // Removes and returns every call.
    std::vector<WaitingCall> removeAll();
    // Number of waiting calls that would be served before a new one.
    std::size_t countBefore(const WaitingCall& call) const;
    std::size_t size() const { return m_calls.size(); }
    // Instant at which the next waiting call expires.
    std::optional<TimePoint> nextExpiry() const;

private:
    std::size_t m_limit;
    std::set<WaitingCall> m_calls;
};

}
