#include "libapricot/memoryaccount.h"

#include <numeric>
#include <utility>

namespace Apricot {

std::string_view memoryCauseName(MemoryCause cause)
{
    return cause == MemoryCause::Request ? "request" : "response";
}

MemoryAccount::MemoryAccount(MemoryAccountOptions options)
    : m_options(options)
{
}

std::size_t MemoryAccount::heldBytes() const
{
    return std::accumulate(m_held.begin(), m_held.end(), std::size_t(0));
}

std::unique_ptr<MemoryAccount::Holder> MemoryAccount::open(MemoryCause cause, TimePoint now)
{
    return std::make_unique<Holder>(*this, cause, now);
}

bool MemoryAccount::hasRoomFor(std::size_t holderBytes, std::size_t more) const
{
    std::size_t limit = m_options.totalBytes;
    if (holderBytes + more > m_options.smallBytes)
        limit -= static_cast<std::size_t>(m_options.smallShare * static_cast<double>(limit));
    return heldBytes() + more <= limit;
}

bool MemoryAccount::evictStalled(const Holder* except, TimePoint now)
{
    Holder* largest = nullptr;
    for (Holder* holder : m_holders) {
        const bool isStalled = holder->m_progressAt + m_options.stallTime <= now;
        if (holder != except && isStalled && holder->m_evict && (!largest || holder->m_bytes > largest->m_bytes))
            largest = holder;
    }
    if (!largest || largest->m_bytes == 0)
        return false;
    // The bytes count as free at once; they are as soon as the connection has noticed its end.
    largest->setBytes(0);
    largest->m_isEvicted = true;
    ++m_evictions[static_cast<std::size_t>(largest->m_cause)];
    std::exchange(largest->m_evict, nullptr)();
    return true;
}

MemoryAccount::Holder::Holder(MemoryAccount& account, MemoryCause cause, TimePoint now)
    : m_account(account)
    , m_cause(cause)
    , m_progressAt(now)
    , m_position(account.m_holders.insert(account.m_holders.end(), this))
{
}

MemoryAccount::Holder::~Holder()
{
    setBytes(0);
    m_account.m_holders.erase(m_position);
}

void MemoryAccount::Holder::setBytes(std::size_t bytes)
{
    std::size_t& held = m_account.m_held[static_cast<std::size_t>(m_cause)];
    held = held - m_bytes + bytes;
    m_bytes = bytes;
}

bool MemoryAccount::Holder::tryResize(std::size_t bytes, TimePoint now)
{
    if (m_isEvicted)
        return false;
    while (bytes > m_bytes && !m_account.hasRoomFor(m_bytes, bytes - m_bytes)) {
        if (m_account.evictStalled(this, now))
            continue;
        ++m_account.m_refusals[static_cast<std::size_t>(m_cause)];
        return false;
    }
    setBytes(bytes);
    return true;
}

}
