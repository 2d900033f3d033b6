#pragma once

#include "libapricot/clock.h"
#include "libserving/streamorigin.h"

#include <map>
#include <set>
#include <utility>

namespace Apricot {

// The origins of the streams that this host began or holds for other hosts, until they expire. When the table is
// full, the entry that expires first makes room.
class StreamOriginTable {
public:
    static constexpr std::size_t defaultCapacity = 65'536;

    explicit StreamOriginTable(std::size_t capacity = defaultCapacity);

    // Records an origin. If another one is known under the same key, the version becomes unknown.
    void put(const StreamKey& key, const StreamOrigin& origin, TimePoint expiresAt, TimePoint now);
    std::optional<StreamOrigin> find(const StreamKey& key, TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        StreamOrigin origin;
        TimePoint expiresAt {};
    };

    void erase(std::map<StreamKey, Entry>::iterator entry);

    std::size_t m_capacity;
    std::map<StreamKey, Entry> m_entries;
    std::set<std::pair<TimePoint, StreamKey>> m_expiries;
};

}
