#pragma once

#include "libapricot/catalogue.h"

#include <optional>
#include <set>
#include <vector>

namespace Apricot {

// A request that waits for a place at a stage.
struct WaitingRequest {
    ServiceClass serviceClass = ServiceClass::Standard;
    // Latest instant at which the stage can begin and the request still be in time.
    TimePoint latestStart {};
    RequestKey key;

    // The order of service: by class, within it by slack.
    auto operator<=>(const WaitingRequest&) const = default;
};

// Waiting requests in the order in which they are served: the more urgent class first, and within a
// class the one with the least slack.
class SlackQueue {
public:
    void push(WaitingRequest request) { m_waiting.insert(std::move(request)); }
    // Takes out the request to serve next, or nothing.
    std::optional<WaitingRequest> pop();
    // Takes out a request that no longer waits. Returns whether it was there.
    bool remove(const WaitingRequest& request) { return m_waiting.erase(request) > 0; }
    // Takes out all that can't be in time any more, to be refused at once.
    std::vector<WaitingRequest> drainInfeasible(TimePoint now);
    std::size_t size() const { return m_waiting.size(); }

private:
    std::set<WaitingRequest> m_waiting;
};

}
