#include "libapricot/slackqueue.h"

namespace Apricot {

std::optional<WaitingRequest> SlackQueue::pop()
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_waiting.extract(m_waiting.begin()).value();
}

std::vector<WaitingRequest> SlackQueue::takeHopeless(TimePoint now)
{
    std::vector<WaitingRequest> hopeless;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (waiting->latestStart >= now) {
            ++waiting;
            continue;
        }
        hopeless.push_back(*waiting);
        waiting = m_waiting.erase(waiting);
    }
    return hopeless;
}

}
