#include "emulator/platform/objectstore.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Versions are stored for stale reads; the oldest is dropped when there are more.
    constexpr std::size_t maxVersionsPerObject = 16;
    // Changes are stored for watches; a watch that starts before the oldest must list again.
    constexpr std::size_t maxLoggedChanges = 20000;

}

StoreResult ObjectStore::put(const std::string& key, boost::json::value value,
    std::optional<ObjectVersion> ifVersion)
{
    if (auto conflict = checkCondition(key, ifVersion))
        return std::move(*conflict);
    return record(key, std::move(value));
}

StoreResult ObjectStore::remove(const std::string& key, std::optional<ObjectVersion> ifVersion)
{
    if (auto conflict = checkCondition(key, ifVersion))
        return std::move(*conflict);
    if (!get(key, m_revision))
        return StoreConflict {};
    return record(key, std::nullopt);
}

std::optional<StoreObject> ObjectStore::get(const std::string& key, ObjectVersion asOf) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return std::nullopt;
    const VersionedValue* versionedValue = findValue(found->second, asOf);
    if (!versionedValue || !versionedValue->value)
        return std::nullopt;
    return StoreObject {
        .key = key, .version = versionedValue->version, .value = *versionedValue->value
    };
}

StoreList ObjectStore::list(std::string_view prefix, ObjectVersion asOf) const
{
    StoreList list { .revision = asOf };
    for (auto entry = m_objects.lower_bound(std::string(prefix));
         entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
        const VersionedValue* versionedValue = findValue(entry->second, asOf);
        if (versionedValue && versionedValue->value)
            list.objects.push_back(
                { entry->first, versionedValue->version, *versionedValue->value });
    }
    return list;
}

StoreEvents ObjectStore::eventsSince(
    std::string_view prefix, ObjectVersion since, ObjectVersion asOf) const
{
    StoreEvents result { .revision = std::max(since, asOf), .complete = since >= m_trimmedUpTo };
    const auto first = std::upper_bound(m_changeLog.begin(), m_changeLog.end(), since,
        [](ObjectVersion version, const StoreEvent& event) { return version < event.version; });
    for (auto event = first; event != m_changeLog.end() && event->version <= asOf; ++event) {
        if (event->key.starts_with(prefix))
            result.events.push_back(*event);
    }
    return result;
}

const ObjectStore::VersionedValue* ObjectStore::findValue(
    const History& history, ObjectVersion asOf)
{
    const auto next = std::upper_bound(history.begin(), history.end(), asOf,
        [](ObjectVersion version, const VersionedValue& versionedValue) {
            return version < versionedValue.version;
        });
    return next == history.begin() ? nullptr : &*std::prev(next);
}

std::optional<StoreConflict> ObjectStore::checkCondition(
    const std::string& key, std::optional<ObjectVersion> ifVersion) const
{
    if (!ifVersion)
        return std::nullopt;
    std::optional<StoreObject> current = get(key, m_revision);
    const ObjectVersion version = current ? current->version : 0;
    if (version == *ifVersion)
        return std::nullopt;
    return StoreConflict { .current = std::move(current) };
}

void ObjectStore::restore(ObjectVersion revision)
{
    ++m_era;
    m_revision = revision;
    m_trimmedUpTo = revision;
    m_changeLog.clear();
    for (auto& [key, history] : m_objects)
        std::erase_if(history, [revision](const VersionedValue& value) { return value.version > revision; });
}

StoreAccepted ObjectStore::record(const std::string& key, std::optional<boost::json::value> value)
{
    ++m_revision;
    m_changeLog.push_back({ .key = key, .version = m_revision, .value = value });
    if (m_changeLog.size() > maxLoggedChanges) {
        m_trimmedUpTo = m_changeLog.front().version;
        m_changeLog.pop_front();
    }
    History& history = m_objects[key];
    history.push_back({ .version = m_revision, .value = std::move(value) });
    if (history.size() > maxVersionsPerObject)
        history.pop_front();
    return { .version = m_revision };
}

}
