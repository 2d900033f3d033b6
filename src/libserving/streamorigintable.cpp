#include "libserving/streamorigintable.h"

#include <algorithm>

namespace Apricot {

StreamOriginTable::StreamOriginTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

void StreamOriginTable::put(
    const StreamKey& key, const StreamOrigin& origin, TimePoint expiresAt, TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        erase(m_entries.find(m_expiries.begin()->second));
    Entry entry { origin, expiresAt };
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        if (known->second.origin != origin)
            entry.origin.version = SoftwareVersion();
        entry.expiresAt = std::max(expiresAt, known->second.expiresAt);
        erase(known);
    }
    if (m_entries.size() >= m_capacity)
        erase(m_entries.find(m_expiries.begin()->second));
    m_expiries.emplace(entry.expiresAt, key);
    m_entries.emplace(key, std::move(entry));
}

std::optional<StreamOrigin> StreamOriginTable::find(const StreamKey& key, TimePoint now) const
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end() || entry->second.expiresAt <= now)
        return std::nullopt;
    return entry->second.origin;
}

void StreamOriginTable::erase(std::map<StreamKey, Entry>::iterator entry)
{
    m_expiries.erase({ entry->second.expiresAt, entry->first });
    m_entries.erase(entry);
}

}
