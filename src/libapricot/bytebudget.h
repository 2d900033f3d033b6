#pragma once

#include <atomic>
#include <cstddef>

namespace Apricot {

// Bounds the bytes that several holders collect together, on any thread.
class ByteBudget {
public:
    explicit ByteBudget(std::size_t bytes)
        : m_free(bytes)
    {
    }

    std::size_t free() const { return m_free; }

private:
    friend class ByteLease;

    std::atomic<std::size_t> m_free;
};

// The part of a budget that one holder uses, returned when the lease is destroyed. The budget must outlive it.
class ByteLease {
public:
    explicit ByteLease(ByteBudget& budget)
        : m_budget(&budget)
    {
    }
    ~ByteLease();
    ByteLease(ByteLease&& other) noexcept;
    ByteLease& operator=(ByteLease&& other) noexcept;

    // Adds bytes to the lease. Returns false, and adds none, if the budget has fewer.
    bool tryAcquire(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    ByteBudget* m_budget;
    std::size_t m_bytes = 0;
};

}
