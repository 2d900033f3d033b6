#include "libapricot/configstore.h"

#include "libapricot/cataloguejson.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <set>

namespace Apricot {

namespace json = boost::json;

namespace {

    const std::string entryPrefix = "catalogue/";
    const std::string serverPrefix = "servers/";
    const std::string domainPrefix = "domains/";
    const std::string hostPrefix = "hosts/";
    const std::string livePrefix = "live/";

    std::vector<HostId> parseLeavingHosts(const json::value& value)
    {
        std::vector<HostId> hosts;
        for (const json::value& host : value.at("leaving").as_array())
            hosts.emplace_back(std::string(host.as_string()));
        return hosts;
    }

    // Adds one valid object to the catalogue that is being built.
    struct CatalogueBuilder {
        Catalogue& catalogue;
        const std::string& key;

        void operator()(const CatalogueEntry& entry) const
        {
            catalogue.entries.emplace(entry.name, entry);
        }

        void operator()(const BackendServer& server) const
        {
            catalogue.servers.emplace(server.id, server);
        }

        void operator()(ServiceState state) const
        {
            if (key.starts_with(domainPrefix))
                catalogue.domains.emplace(key.substr(domainPrefix.size()), state);
            else
                catalogue.hosts.emplace(key.substr(hostPrefix.size()), state);
        }

        void operator()(const std::vector<HostId>& leaving) const
        {
            for (const HostId& host : leaving)
                catalogue.leaving.emplace(host, ServiceState::Out);
        }
    };

}

ConfigStore::ConfigStore()
    : m_catalogue(std::make_shared<Catalogue>())
{
}

const std::vector<std::string>& ConfigStore::prefixes()
{
    static const std::vector<std::string> keyPrefixes { entryPrefix, serverPrefix, domainPrefix,
        hostPrefix, livePrefix };
    return keyPrefixes;
}

bool ConfigStore::apply(const ConfigDelta& delta)
{
    PrefixState& prefix = m_prefixes[delta.prefix];
    const bool isTooOld = delta.isSnapshot && delta.revision < prefix.revision;
    const bool hasGap = !delta.isSnapshot && delta.since > prefix.revision;
    if (isTooOld || hasGap)
        return false;
    bool isChanged = false;
    for (const ConfigObject& object : delta.objects) {
        // An object covered by the known revision is already in the store, or has been superseded
        // or deleted since.
        if (object.version > prefix.revision && object.key.starts_with(delta.prefix))
            isChanged = applyObject(object) || isChanged;
    }
    if (delta.isSnapshot) {
        isChanged = deleteUnlisted(delta) || isChanged;
        prefix.knownSince = delta.revision;
    }
    prefix.revision = std::max(prefix.revision, delta.revision);
    if (isChanged)
        buildCatalogue();
    return isChanged;
}

ConfigDelta ConfigStore::deltaSince(const std::string& prefix, ObjectVersion since) const
{
    const auto known = m_prefixes.find(prefix);
    const PrefixState state = known == m_prefixes.end() ? PrefixState {} : known->second;
    ConfigDelta delta { .prefix = prefix,
        .isSnapshot = since < state.knownSince,
        .since = since,
        .revision = state.revision };
    for (auto object = m_objects.lower_bound(prefix);
         object != m_objects.end() && object->first.starts_with(prefix); ++object) {
        const bool isDeleted = object->second.json.empty();
        if (delta.isSnapshot ? !isDeleted : object->second.version > since)
            delta.objects.push_back(object->second);
    }
    return delta;
}

ObjectVersion ConfigStore::revision(const std::string& prefix) const
{
    const auto known = m_prefixes.find(prefix);
    return known == m_prefixes.end() ? 0 : known->second.revision;
}

ObjectVersion ConfigStore::revision() const
{
    ObjectVersion lowest = revision(prefixes().front());
    for (const std::string& prefix : prefixes())
        lowest = std::min(lowest, revision(prefix));
    return lowest;
}

bool ConfigStore::applyObject(const ConfigObject& object)
{
    ConfigObject& known = m_objects[object.key];
    if (object.version <= known.version)
        return false;
    known = object;
    m_invalid.erase(object.key);
    if (object.json.empty()) {
        m_parsed.erase(object.key);
        return true;
    }
    try {
        m_parsed.insert_or_assign(object.key, parse(object.key, json::parse(object.json)));
    } catch (const std::exception& error) {
        m_invalid.emplace(
            object.key, InvalidObject { .version = object.version, .error = error.what() });
    }
    return true;
}

bool ConfigStore::deleteUnlisted(const ConfigDelta& snapshot)
{
    std::set<std::string> listed;
    for (const ConfigObject& object : snapshot.objects)
        listed.insert(object.key);
    std::vector<ConfigObject> deleted;
    for (auto object = m_objects.lower_bound(snapshot.prefix);
         object != m_objects.end() && object->first.starts_with(snapshot.prefix); ++object) {
        const ConfigObject& known = object->second;
        if (!known.json.empty() && !listed.contains(known.key) && known.version < snapshot.revision)
            deleted.push_back({ .key = known.key, .version = snapshot.revision });
    }
    for (const ConfigObject& object : deleted)
        applyObject(object);
    return !deleted.empty();
}

ConfigStore::Parsed ConfigStore::parse(const std::string& key, const json::value& value)
{
    if (key.starts_with(entryPrefix))
        return parseCatalogueEntry(PipelineId(key.substr(entryPrefix.size())), value);
    if (key.starts_with(serverPrefix))
        return parseBackendServer(BackendServerId(key.substr(serverPrefix.size())), value);
    if (key.starts_with(livePrefix))
        return parseLeavingHosts(value);
    return parseServiceState(value);
}

void ConfigStore::buildCatalogue()
{
    auto catalogue = std::make_shared<Catalogue>();
    for (const auto& [key, parsed] : m_parsed)
        std::visit(CatalogueBuilder { *catalogue, key }, parsed);
    for (const auto& [key, object] : m_objects)
        catalogue->version = std::max(catalogue->version, object.version);
    m_catalogue = std::move(catalogue);
}

}
