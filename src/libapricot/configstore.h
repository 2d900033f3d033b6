#pragma once

#include "libapricot/catalogue.h"

#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// A configuration object at one version. An empty text means that it was deleted.
struct ConfigObject {
    std::string key;
    ObjectVersion version = 0;
    std::string json;

    auto operator<=>(const ConfigObject&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(key, version, json); }
};

// What a reader learns about one prefix, from a list, a watch or a peer.
struct ConfigDelta {
    std::string prefix;
    // Whether the objects are all that exist, or only those that changed after a revision.
    bool isSnapshot = false;
    ObjectVersion since = 0;
    // Revision up to which the objects are complete.
    ObjectVersion revision = 0;
    std::vector<ConfigObject> objects;

    auto operator<=>(const ConfigDelta&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(prefix, isSnapshot, since, revision, objects); }
};

// A configuration object that could not be taken into force.
struct InvalidObject {
    ObjectVersion version = 0;
    std::string error;

    auto operator<=>(const InvalidObject&) const = default;
};

// The configuration as this process knows it. The version of a key and the revision of a prefix only
// rise, so a stale read, a late watch event or a second list never reverts anything. An object that
// is invalid leaves the last valid one of its key in force and is reported.
class ConfigStore {
public:
    ConfigStore();

    // Prefixes of the keys that make up the configuration.
    static const std::vector<std::string>& prefixes();

    // Takes what a reader learned; whether anything in force changed.
    bool apply(const ConfigDelta& delta);
    // Everything of a prefix that changed after a revision, for a peer.
    ConfigDelta deltaSince(const std::string& prefix, ObjectVersion since) const;

    // Revision up to which a prefix is known, and up to which all of them are.
    ObjectVersion revision(const std::string& prefix) const;
    ObjectVersion revision() const;
    std::shared_ptr<const Catalogue> catalogue() const { return m_catalogue; }
    const std::map<std::string, InvalidObject>& invalidObjects() const { return m_invalid; }

private:
    using Parsed = std::variant<CatalogueEntry, BackendServer, ServiceState, std::vector<HostId>>;

    struct PrefixState {
        ObjectVersion revision = 0;
        // Revision before which deletions may be unknown here.
        ObjectVersion knownSince = 0;
    };

    bool applyObject(const ConfigObject& object);
    bool deleteUnlisted(const ConfigDelta& snapshot);
    static Parsed parse(const std::string& key, const boost::json::value& value);
    void buildCatalogue();

    std::map<std::string, PrefixState> m_prefixes;
    // Newest version of each key, deleted ones too.
    std::map<std::string, ConfigObject> m_objects;
    // Last valid value of each key that is not deleted.
    std::map<std::string, Parsed> m_parsed;
    std::map<std::string, InvalidObject> m_invalid;
    std::shared_ptr<const Catalogue> m_catalogue;
};

}
