#include "libapricot/bytebudget.h"

#include <utility>

namespace Apricot {

ByteLease::~ByteLease()
{
    m_budget->m_free += m_bytes;
}

ByteLease::ByteLease(ByteLease&& other) noexcept
    : m_budget(other.m_budget)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

ByteLease& ByteLease::operator=(ByteLease&& other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool ByteLease::tryAcquire(std::size_t bytes)
{
    std::size_t free = m_budget->m_free;
    do {
        if (bytes > free)
            return false;
    } while (!m_budget->m_free.compare_exchange_weak(free, free - bytes));
    m_bytes += bytes;
    return true;
}

}
