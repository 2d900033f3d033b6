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

// An object as the store holds it.
struct StoreObject {
    std::string key;
    ObjectVersion version = 0;
    boost::json::value value;

    bool operator==(const StoreObject&) const = default;
};

// One change of an object; without a value the object was deleted.
struct StoreEvent {
    std::string key;
    ObjectVersion version = 0;
    std::optional<boost::json::value> value;

    bool operator==(const StoreEvent&) const = default;
};

// A write that took effect, with the version that it created.
struct StoreAccepted {
    ObjectVersion version = 0;
};

// A write whose condition did not hold, with the object that stands, if there is one.
struct StoreConflict {
    std::optional<StoreObject> current;
};

using StoreResult = std::variant<StoreAccepted, StoreConflict>;

// The objects of a prefix at one revision.
struct StoreList {
    ObjectVersion revision = 0;
    std::vector<StoreObject> objects;
};

// The changes of a prefix after a revision.
struct StoreEvents {
    ObjectVersion revision = 0;
    // False when the log no longer reaches back so far; the reader has to list again.
    bool complete = true;
    std::vector<StoreEvent> events;
};

// The platform's versioned objects, in memory. All versions come from one revision counter. Every
// read may name an earlier revision, which is how the emulator gives stale answers.
class ObjectStore {
public:
    // Stores a value. The condition zero means that the object must not exist.
    StoreResult put(const std::string& key, boost::json::value value,
        std::optional<ObjectVersion> ifVersion = std::nullopt);
    // Deletes an object. Deleting an object that is missing is a conflict.
    StoreResult remove(
        const std::string& key, std::optional<ObjectVersion> ifVersion = std::nullopt);

    ObjectVersion revision() const { return m_revision; }
    std::optional<StoreObject> get(const std::string& key, ObjectVersion asOf) const;
    StoreList list(std::string_view prefix, ObjectVersion asOf) const;
    // Changes with a version above since and not above asOf, oldest first.
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

    ObjectVersion m_revision = 0;
    ObjectVersion m_trimmedUpTo = 0;
    std::map<std::string, History> m_objects;
    std::deque<StoreEvent> m_changeLog;
};

}
