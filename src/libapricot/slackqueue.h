#pragma once

#include "libapricot/catalogue.h"

#include <optional>
#include <set>
#include <vector>

namespace Apricot {

// A request that waits for a slot at a stage.
struct WaitingRequest {
    ServiceClass serviceClass = ServiceClass::Standard;
    // Latest instant at which the stage can start and the request still meet its deadline.
    TimePoint latestStart {};
    RequestKey key;

    // Order of service: by class, then by slack.
    auto operator<=>(const WaitingRequest&) const = default;
};

// Priority queue of waiting requests: more urgent classes first, and the least slack first within a
// class.
class SlackQueue {
public:
    void push(WaitingRequest request) { m_waiting.insert(std::move(request)); }
    // Removes and returns the request to serve next, or nothing if the queue is empty.
    std::optional<WaitingRequest> pop();
    // Removes a request that no longer waits. Returns whether it was in the queue.
    bool remove(const WaitingRequest& request) { return m_waiting.erase(request) > 0; }
    // Removes and returns the requests that can no longer meet their deadline, which are to be refused.
    std::vector<WaitingRequest> drainInfeasible(TimePoint now);
    std::size_t size() const { return m_waiting.size(); }

private:
    std::set<WaitingRequest> m_waiting;
};

}
