#pragma once

#include "libserving/serverstart.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Apricot {

// What is known of backend servers until their next start. Of each server, only the latest start is kept.
template <typename State>
class ServerStartTable {
public:
    // The state of a start, or null if none is known.
    const State* find(const ServerStart& server) const
    {
        const auto entry = m_entries.find(server.server);
        return entry == m_entries.end() || entry->second.startedAt != server.startedAt ? nullptr
                                                                                       : &entry->second.state;
    }
    State* find(const ServerStart& server) { return const_cast<State*>(std::as_const(*this).find(server)); }

    // The state of a start, which replaces that of an earlier one; null if a later start is known.
    State* findOrAdd(const ServerStart& server)
    {
        removeEarlier(server);
        const auto entry = m_entries.try_emplace(server.server, Entry { server.startedAt, State {} }).first;
        return entry->second.startedAt == server.startedAt ? &entry->second.state : nullptr;
    }

    // Removes the state of an earlier start of a server.
    void removeEarlier(const ServerStart& server)
    {
        const auto entry = m_entries.find(server.server);
        if (entry != m_entries.end() && entry->second.startedAt < server.startedAt)
            m_entries.erase(entry);
    }

    // Removes the servers that are not listed.
    void retain(const std::set<BackendServerId>& listed)
    {
        std::erase_if(m_entries, [&listed](const auto& entry) { return !listed.contains(entry.first); });
    }

    template <typename Predicate>
    void eraseIf(Predicate predicate)
    {
        std::erase_if(m_entries, [&predicate](const auto& entry) { return predicate(entry.second.state); });
    }

    template <typename Predicate>
    bool contains(Predicate predicate) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(),
            [&predicate](const auto& entry) { return predicate(entry.second.state); });
    }

    template <typename Predicate>
    std::size_t count(Predicate predicate) const
    {
        return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
            [&predicate](const auto& entry) { return predicate(entry.second.state); }));
    }

    bool isEmpty() const { return m_entries.empty(); }

private:
    struct Entry {
        std::int64_t startedAt = 0;
        State state;
    };

    std::map<BackendServerId, Entry> m_entries;
};

}
