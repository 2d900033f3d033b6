#include "libapricot/startqueue.h"

#include <algorithm>
#include <iterator>

namespace Apricot {

StartQueue::StartQueue(std::size_t limit)
    : m_limit(limit)
{
}

std::optional<WaitingCall> StartQueue::push(const WaitingCall& call)
{
    m_calls.insert(call);
    if (m_calls.size() <= m_limit)
        return std::nullopt;
    const auto last = std::prev(m_calls.end());
    const WaitingCall dropped = *last;
    m_calls.erase(last);
    return dropped;
}

const WaitingCall* StartQueue::front() const
{
    return m_calls.empty() ? nullptr : &*m_calls.begin();
}

void StartQueue::popFront()
{
    m_calls.erase(m_calls.begin());
}

void StartQueue::erase(CallNumber number)
{
    std::erase_if(m_calls, [number](const WaitingCall& call) { return call.number == number; });
}

std::vector<WaitingCall> StartQueue::removeExpired(TimePoint now)
{
    std::vector<WaitingCall> expired;
    std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(expired),
        [now](const WaitingCall& call) { return call.startBy <= now; });
    for (const WaitingCall& call : expired)
        m_calls.erase(call);
    return expired;
}

std::vector<WaitingCall> StartQueue::removeAll()
{
    std::vector<WaitingCall> calls(m_calls.begin(), m_calls.end());
    m_calls.clear();
    return calls;
}

std::size_t StartQueue::countBefore(const WaitingCall& call) const
{
    return static_cast<std::size_t>(std::distance(m_calls.begin(), m_calls.lower_bound(call)));
}

std::optional<TimePoint> StartQueue::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const WaitingCall& call : m_calls)
        next = std::min(next.value_or(call.startBy), call.startBy);
    return next;
}

}
