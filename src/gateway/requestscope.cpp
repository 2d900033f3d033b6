#include "gateway/requestscope.h"

namespace Apricot {

void RequestScope::end(ScopeEndReason reason)
{
    if (isOver())
        return;
    m_endReason = reason;
    for (const std::weak_ptr<HttpCancel>& weak : m_calls) {
        if (const auto call = weak.lock())
            call->cancel();
    }
    m_calls.clear();
}

std::shared_ptr<HttpCancel> RequestScope::addCall()
{
    auto call = std::make_shared<HttpCancel>();
    if (isOver())
        call->cancel();
    std::erase_if(m_calls, [](const auto& weak) { return weak.expired(); });
    m_calls.push_back(call);
    return call;
}

}
