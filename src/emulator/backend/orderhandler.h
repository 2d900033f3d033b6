#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// Order that the engine received, and whether the engine obeyed it.
struct OrderRecord {
    std::string order;
    std::uint64_t fence = 0;
    bool obeyed = true;
    // Whether a higher fencing number had been received before.
    bool stale = false;

    auto operator<=>(const OrderRecord&) const = default;
};

// Records all orders in the sequence of their arrival. With fencing checks, stale orders are refused;
// without, they are obeyed and recorded as stale.
class OrderHandler {
public:
    explicit OrderHandler(bool checksOrders);

    // Records an order and returns whether the engine obeys it.
    bool handle(std::string order, std::uint64_t fence);
    const std::vector<OrderRecord>& orders() const { return m_orders; }
    std::uint64_t refusedCount() const;
    // Number of stale orders that were obeyed.
    std::uint64_t staleObeyedCount() const;

private:
    bool m_checksOrders;
    std::uint64_t m_highestFence = 0;
    std::vector<OrderRecord> m_orders;
};

}
