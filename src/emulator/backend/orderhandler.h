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
class OrderHandler {
public:
    explicit OrderHandler(bool checksFencing);

    // Takes an order; returns whether the engine obeys it.
    bool handle(std::string order, std::uint64_t fence);
    const std::vector<OrderRecord>& orders() const { return m_orders; }
    std::uint64_t refusedCount() const;
    // Stale orders that were obeyed.
    std::uint64_t staleObeyedCount() const;

private:
    bool m_checksFencing;
    std::uint64_t m_highestFence = 0;
    std::vector<OrderRecord> m_orders;
};

}
