#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// An order that the engine received, and whether it obeyed.
struct OrderRecord {
    std::string order;
    std::uint64_t fence = 0;
    bool obeyed = true;
    // Whether a newer fencing number had been seen before.
    bool stale = false;

    auto operator<=>(const OrderRecord&) const = default;
};

// Orders in the sequence of their arrival. An engine that checks fencing numbers refuses stale ones;
// another obeys them, and the record shows it.
class OrderBook {
public:
    explicit OrderBook(bool checksOrders);

    // Takes an order; returns whether the engine obeys it.
    bool take(std::string order, std::uint64_t fence);
    const std::vector<OrderRecord>& orders() const { return m_orders; }
    std::uint64_t refused() const;
    // Stale orders that were obeyed.
    std::uint64_t staleObeyed() const;

private:
    bool m_checksOrders;
    std::uint64_t m_newestFence = 0;
    std::vector<OrderRecord> m_orders;
};

}
