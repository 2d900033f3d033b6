#pragma once

#include "libapricot/catalogue.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

// Object of the store at one version.
struct StoreObject {
    std::string key;
    ObjectVersion version = 0;
    boost::json::value value;

    bool operator==(const StoreObject&) const = default;
};

// Change of an object. Has no value if the object was deleted.
struct StoreEvent {
    std::string key;
    ObjectVersion version = 0;
    std::optional<boost::json::value> value;

    bool operator==(const StoreEvent&) const = default;
};

// Accepted write, with the version that it created.
struct StoreAccepted {
    ObjectVersion version = 0;
};

// Write whose condition was not met, with the current object if it exists.
struct StoreConflict {
    std::optional<StoreObject> current;
};

using StoreResult = std::variant<StoreAccepted, StoreConflict>;

// Objects whose keys start with a prefix, at one revision.
struct StoreList {
    ObjectVersion revision = 0;
    std::vector<StoreObject> objects;
};

// Changes of objects whose keys start with a prefix, after one revision.
struct StoreEvents {
    ObjectVersion revision = 0;
    // False if the change log no longer reaches back to that revision; the reader must list again.
    bool complete = true;
    std::vector<StoreEvent> events;
};

// In-memory store of the platform's versioned objects. All versions come from one revision counter.
// Reads may name an earlier revision, which the emulator uses for stale responses.
class ObjectStore {
public:
    // Stores a value. If a version is given, it must be the object's current version; zero means that
    // the object must not exist.
    StoreResult put(const std::string& key, boost::json::value value,
        std::optional<ObjectVersion> ifVersion = std::nullopt);
    // Deletes an object. Deleting a missing object is a conflict.
    StoreResult remove(
        const std::string& key, std::optional<ObjectVersion> ifVersion = std::nullopt);

    ObjectVersion revision() const { return m_revision; }
    // Number of times that the store came back from an older copy.
    std::uint64_t era() const { return m_era; }
    // Comes back from a copy of an earlier revision, as far as the versions are stored.
    void restore(ObjectVersion revision);
    std::optional<StoreObject> get(const std::string& key, ObjectVersion asOf) const;
    StoreList list(std::string_view prefix, ObjectVersion asOf) const;
    // Changes with since < version <= asOf, oldest first.
    StoreEvents eventsSince(
        std::string_view prefix, ObjectVersion since, ObjectVersion asOf) const;

private:
    struct VersionedValue {
        ObjectVersion version = 0;
        std::optional<boost::json::value> value;
    };
    using History = std::deque<VersionedValue>;

    static const VersionedValue* findValue(const History& history, ObjectVersion asOf);
    std::optional<StoreConflict> checkCondition(
        const std::string& key, std::optional<ObjectVersion> ifVersion) const;
    StoreAccepted record(const std::string& key, std::optional<boost::json::value> value);

    std::uint64_t m_era = 0;
    ObjectVersion m_revision = 0;
    ObjectVersion m_trimmedUpTo = 0;
    std::map<std::string, History> m_objects;
    std::deque<StoreEvent> m_changeLog;
};

}
