#include "orderhandler.h"

#include <algorithm>
#include <utility>

namespace Apricot {

OrderHandler::OrderHandler(bool checksOrders)
    : m_checksOrders(checksOrders)
{
}

bool OrderHandler::handle(std::string order, std::uint64_t fence)
{
    const bool stale = fence < m_highestFence;
    const bool obeyed = !stale || !m_checksOrders;
    m_highestFence = std::max(m_highestFence, fence);
    m_orders.push_back(
        { .order = std::move(order), .fence = fence, .obeyed = obeyed, .stale = stale });
    return obeyed;
}

std::uint64_t OrderHandler::refusedCount() const
{
    return static_cast<std::uint64_t>(std::count_if(m_orders.begin(), m_orders.end(),
        [](const OrderRecord& record) { return !record.obeyed; }));
}

std::uint64_t OrderHandler::staleObeyedCount() const
{
    return static_cast<std::uint64_t>(std::count_if(m_orders.begin(), m_orders.end(),
        [](const OrderRecord& record) { return record.stale && record.obeyed; }));
}

}
