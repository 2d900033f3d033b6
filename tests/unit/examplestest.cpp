#include "property.h"
#include "sourcefolder.h"

#include "libapricot/cataloguejson.h"
#include "libapricot/catalogueobject.h"
#include "libapricot/dispatchsettings.h"
#include "libapricot/entrysettings.h"

#include <boost/json/parse.hpp>

#include <map>
#include <set>

using namespace Apricot;

namespace {

// A deployment's example, read as the tool and the daemons read it.
struct Example {
    std::map<PipelineId, CatalogueEntry> entries;
    std::map<PoolId, int> serversOfPool;
    std::set<FailureDomainId> domainsOfServers;
    std::set<std::string> endpoints;
    std::set<FailureDomainId> domains;
    std::map<OwnerId, OwnerLimits> limits;
    bool limitsAgree = true;

    void add(const CatalogueObject& object)
    {
        if (object.kind == ObjectKind::Pipeline)
            addEntry(parseCatalogueEntry(PipelineId(object.name), object.spec));
        else if (object.kind == ObjectKind::Server)
            addServer(parseBackendServer(BackendServerId(object.name), object.spec));
        else if (object.kind == ObjectKind::Domain)
            domains.insert(FailureDomainId(object.name));
    }

    void addEntry(const CatalogueEntry& entry)
    {
        entries.emplace(entry.name, entry);
        limitsAgree &= limits.try_emplace(entry.owner, entry.limits).first->second == entry.limits;
    }

    void addServer(const BackendServer& server)
    {
        ++serversOfPool[server.pool];
        domainsOfServers.insert(server.failureDomain);
        endpoints.insert(server.address + ":" + std::to_string(server.port));
    }

    int nonIdempotentStages() const
    {
        int count = 0;
        for (const auto& [name, entry] : entries) {
            for (const StageSpec& stage : entry.stages)
                count += stage.idempotent ? 0 : 1;
        }
        return count;
    }
};

Example loadExample(const std::string& folder)
{
    Example example;
    for (const std::string& file : listSourceFolder(folder, ".json")) {
        for (const CatalogueObject& object :
            parseCatalogueObjects(boost::json::parse(readSourceFile(file))))
            example.add(object);
    }
    return example;
}

void checkExample(const Example& example)
{
    LONGS_EQUAL(5, example.limits.size());
    CHECK_TRUE(example.limitsAgree);
    LONGS_EQUAL(3, example.domains.size());
    CHECK_TRUE(example.domains == example.domainsOfServers);
    CHECK_TRUE(example.nonIdempotentStages() > 0);
    std::size_t servers = 0;
    for (const auto& [pool, count] : example.serversOfPool)
        servers += static_cast<std::size_t>(count);
    LONGS_EQUAL(servers, example.endpoints.size());
    for (const auto& [name, entry] : example.entries) {
        for (const StageSpec& stage : entry.stages)
            CHECK_TRUE_TEXT(example.serversOfPool.contains(stage.pool), name.value().c_str());
    }
}

}

TEST_GROUP(Examples) {};

TEST(Examples, tabaqRahmaIsWholeAndOfTheSizeOfToday)
{
    const Example example = loadExample("examples/tabaq-rahma");
    checkExample(example);
    LONGS_EQUAL(10, example.serversOfPool.at(PoolId("generators")));
    LONGS_EQUAL(3, example.serversOfPool.at(PoolId("ledger")));
    LONGS_EQUAL(3, example.serversOfPool.at(PoolId("kitchen-board")));
    LONGS_EQUAL(5, example.serversOfPool.at(PoolId("family-line")));
    LONGS_EQUAL(5, example.serversOfPool.at(PoolId("fleet-tracker")));
}

TEST(Examples, cascadeGrantwatchIsWholeAndOfTheSizeOfToday)
{
    const Example example = loadExample("examples/cascade-grantwatch");
    checkExample(example);
    LONGS_EQUAL(20, example.serversOfPool.at(PoolId("summarisers")));
    LONGS_EQUAL(3, example.serversOfPool.at(PoolId("alerts")));
    for (const char* pool : { "feed-collector", "subscriber-portal", "calendar" })
        LONGS_EQUAL(5, example.serversOfPool.at(PoolId(pool)));
}

TEST(Examples, settingsFilesAreValid)
{
    EntrySettings entry;
    SettingsTable entryTable;
    describe(entry, entryTable);
    loadSettingsText(readSourceFile("examples/settings/entry.ini"), "entry.ini", entryTable);
    LONGS_EQUAL(7070, entry.dispatch.port);
    DispatchSettings dispatch;
    SettingsTable dispatchTable;
    describe(dispatch, dispatchTable);
    loadSettingsText(
        readSourceFile("examples/settings/dispatch.ini"), "dispatch.ini", dispatchTable);
    LONGS_EQUAL(9000, dispatch.platform.port);
}
