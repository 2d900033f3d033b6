#include "libapricot/servercapacity.h"

#include <algorithm>

namespace Apricot {

namespace {

    ServerCapacityOptions normalized(ServerCapacityOptions options)
    {
        options.coldCap = std::max(1, options.coldCap);
        options.warmCap = std::max(options.coldCap, options.warmCap);
        return options;
    }

    using CapacityState = std::variant<ColdStart, WarmRamp>;

    struct FinishedVisitor {
        const ServerCapacityOptions& options;

        CapacityState operator()(ColdStart state) const
        {
            ++state.finished;
            if (state.finished >= options.requestsToWarm)
                return WarmRamp { .cap = state.cap };
            if (state.finished % state.cap == 0)
                state.cap = std::min(options.coldCap, state.cap + 1);
            return state;
        }

        CapacityState operator()(WarmRamp state) const
        {
            ++state.finishedAtCap;
            if (state.finishedAtCap < state.cap)
                return state;
            return WarmRamp { .cap = std::min(options.warmCap, state.cap + 1) };
        }
    };

}

ServerCapacity::ServerCapacity(ServerCapacityOptions options)
    : m_options(normalized(options))
    , m_state(ColdStart { .cap = m_options.coldCap })
{
}

int ServerCapacity::cap() const
{
    return std::visit([](const auto& state) { return state.cap; }, m_state);
}

void ServerCapacity::onFinished()
{
    m_state = std::visit(FinishedVisitor { m_options }, m_state);
}

void ServerCapacity::onRefused(int inFlight)
{
    const int lowered = std::clamp(inFlight, 1, std::max(1, cap() - 1));
    std::visit([lowered](auto& state) { state.cap = lowered; }, m_state);
    if (auto* ramp = std::get_if<WarmRamp>(&m_state))
        ramp->finishedAtCap = 0;
}

void ServerCapacity::resetToCold()
{
    m_state = ColdStart { .cap = m_options.coldCap };
    ++m_coldStarts;
}

void ServerCapacity::setOptions(ServerCapacityOptions options)
{
    m_options = normalized(options);
    const int bound = isCold() ? m_options.coldCap : m_options.warmCap;
    std::visit([bound](auto& state) { state.cap = std::min(state.cap, bound); }, m_state);
}

void ServerCapacity::inheritCap(int cap)
{
    if (cap > m_options.coldCap)
        m_state = WarmRamp { .cap = std::min(cap, m_options.warmCap) };
}

}
