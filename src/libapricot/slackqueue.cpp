#include "libapricot/slackqueue.h"

namespace Apricot {

std::optional<WaitingRequest> SlackQueue::pop()
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.extract(m_waiting.begin()).value();
}

std::vector<WaitingRequest> SlackQueue::drainInfeasible(TimePoint now)
{
    std::vector<WaitingRequest> infeasible;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (waiting->latestStart >= now) {
            ++waiting;
            continue;
        }
        infeasible.push_back(*waiting);
        waiting = m_waiting.erase(waiting);
    }
    return infeasible;
}

}
