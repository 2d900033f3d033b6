#include "orderbook.h"

#include <algorithm>
#include <utility>

namespace Apricot {

OrderBook::OrderBook(bool checksOrders)
    : m_checksOrders(checksOrders)
{
}

bool OrderBook::take(std::string order, std::uint64_t fence)
{
    const bool stale = fence < m_newestFence;
    const bool obeyed = !stale || !m_checksOrders;
    m_newestFence = std::max(m_newestFence, fence);
    m_orders.push_back(
        { .order = std::move(order), .fence = fence, .obeyed = obeyed, .stale = stale });
    return obeyed;
}

std::uint64_t OrderBook::refused() const
{
    return static_cast<std::uint64_t>(std::count_if(m_orders.begin(), m_orders.end(),
        [](const OrderRecord& record) { return !record.obeyed; }));
}

std::uint64_t OrderBook::staleObeyed() const
{
    return static_cast<std::uint64_t>(std::count_if(m_orders.begin(), m_orders.end(),
        [](const OrderRecord& record) { return record.stale && record.obeyed; }));
}

}
