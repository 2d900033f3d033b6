#pragma once

#include "libapricot/catalogue.h"

#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// A configuration object at one version. Empty JSON means that it was deleted.
struct ConfigObject {
    std::string key;
    ObjectVersion version = 0;
    std::string json;

    auto operator<=>(const ConfigObject&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(key, version, json); }
};

// Objects of one prefix as received from a list, a watch or a peer.
struct ConfigDelta {
    std::string prefix;
    // Whether the objects are all that exist, rather than only those that changed after `since`.
    bool isSnapshot = false;
    ObjectVersion since = 0;
    // Revision up to which the objects are complete.
    ObjectVersion revision = 0;
    std::vector<ConfigObject> objects;

    auto operator<=>(const ConfigDelta&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(prefix, isSnapshot, since, revision, objects); }
};

// A configuration object that could not be applied.
struct InvalidObject {
    ObjectVersion version = 0;
    std::string error;

    auto operator<=>(const InvalidObject&) const = default;
};

// The configuration known to this process. The version of a key and the revision of a prefix only
// increase, so a stale read, a late watch event or a repeated list never reverts anything. An
// invalid object is reported, and the last valid version of its key stays in effect.
class ConfigStore {
public:
    ConfigStore();

    // Prefixes of the keys that make up the configuration.
    static const std::vector<std::string>& prefixes();

    // Applies a delta. Returns whether the effective configuration changed.
    bool apply(const ConfigDelta& delta);
    // Changes to a prefix after a revision, for sending to a peer.
    ConfigDelta deltaSince(const std::string& prefix, ObjectVersion since) const;

    // Revision up to which one prefix is known, and up to which all prefixes are known.
    ObjectVersion revision(const std::string& prefix) const;
    ObjectVersion revision() const;
    std::shared_ptr<const Catalogue> catalogue() const { return m_catalogue; }
    const std::map<std::string, InvalidObject>& invalidObjects() const { return m_invalid; }

private:
    using Parsed = std::variant<CatalogueEntry, BackendServer, ServiceState, std::vector<HostId>>;

    struct PrefixState {
        ObjectVersion revision = 0;
        // Deletions before this revision may be unknown.
        ObjectVersion knownSince = 0;
    };

    bool applyObject(const ConfigObject& object);
    bool deleteUnlisted(const ConfigDelta& snapshot);
    static Parsed parse(const std::string& key, const boost::json::value& value);
    void buildCatalogue();

    std::map<std::string, PrefixState> m_prefixes;
    // Newest version of each key, including deleted keys.
    std::map<std::string, ConfigObject> m_objects;
    // Last valid value of each key that is not deleted.
    std::map<std::string, Parsed> m_parsed;
    std::map<std::string, InvalidObject> m_invalid;
    std::shared_ptr<const Catalogue> m_catalogue;
};

}
