#pragma once

#include <cstddef>

namespace Apricot {

// Adds one to a count while it exists.
class ScopedCount {
public:
    explicit ScopedCount(std::size_t& count)
        : m_count(count)
    {
        ++m_count;
    }
    ~ScopedCount() { --m_count; }

    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

private:
    std::size_t& m_count;
};

}
