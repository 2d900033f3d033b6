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

// Example deployment, parsed with the functions that apricotctl and the daemons use.
struct Example {
    std::map<PipelineId, CatalogueEntry> entries;
    std::map<PoolId, int> serverCountByPool;
    std::set<FailureDomainId> serverDomains;
    std::set<std::string> endpoints;
    std::set<FailureDomainId> domains;
    std::map<OwnerId, OwnerLimits> limitsByOwner;
    bool hasConsistentLimits = true;

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
        hasConsistentLimits
            &= limitsByOwner.try_emplace(entry.owner, entry.limits).first->second == entry.limits;
    }

    void addServer(const BackendServer& server)
    {
        ++serverCountByPool[server.pool];
        serverDomains.insert(server.failureDomain);
        endpoints.insert(server.address + ":" + std::to_string(server.port));
    }

    int nonIdempotentStageCount() const
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
    LONGS_EQUAL(5, example.limitsByOwner.size());
    CHECK_TRUE(example.hasConsistentLimits);
    LONGS_EQUAL(3, example.domains.size());
    CHECK_TRUE(example.domains == example.serverDomains);
    CHECK_TRUE(example.nonIdempotentStageCount() > 0);
    std::size_t serverCount = 0;
    for (const auto& [pool, count] : example.serverCountByPool)
        serverCount += static_cast<std::size_t>(count);
    LONGS_EQUAL(serverCount, example.endpoints.size());
    for (const auto& [name, entry] : example.entries) {
        for (const StageSpec& stage : entry.stages)
            CHECK_TRUE_TEXT(example.serverCountByPool.contains(stage.pool), name.value().c_str());
    }
}

}

TEST_GROUP(Examples) {};

TEST(Examples, tabaqRahmaIsCompleteAndMatchesTheCurrentDeployment)
{
    const Example example = loadExample("examples/tabaq-rahma");
    checkExample(example);
    LONGS_EQUAL(10, example.serverCountByPool.at(PoolId("generators")));
    LONGS_EQUAL(3, example.serverCountByPool.at(PoolId("ledger")));
    LONGS_EQUAL(3, example.serverCountByPool.at(PoolId("kitchen-board")));
    LONGS_EQUAL(5, example.serverCountByPool.at(PoolId("family-line")));
    LONGS_EQUAL(5, example.serverCountByPool.at(PoolId("fleet-tracker")));
}

TEST(Examples, cascadeGrantwatchIsCompleteAndMatchesTheCurrentDeployment)
{
    const Example example = loadExample("examples/cascade-grantwatch");
    checkExample(example);
    LONGS_EQUAL(20, example.serverCountByPool.at(PoolId("summarisers")));
    LONGS_EQUAL(3, example.serverCountByPool.at(PoolId("alerts")));
    for (const char* pool : { "feed-collector", "subscriber-portal", "calendar" })
        LONGS_EQUAL(5, example.serverCountByPool.at(PoolId(pool)));
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
