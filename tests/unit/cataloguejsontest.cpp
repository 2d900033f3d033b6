#include "property.h"

#include "libapricot/cataloguejson.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace Apricot;

namespace {

constexpr const char* validEntry = R"({"owner":"kitchen","class":"urgent","deadline_ms":9000,
    "limits":{"requests_per_second":20,"requests_in_flight":40,"tokens_per_second":900.5},
    "stages":[{"name":"encode","kind":"encode","pool":"encoders","timeout_ms":400},
              {"name":"charge","kind":"call","pool":"ledger","idempotent":false}]})";

rc::Gen<std::string> arbitraryName()
{
    return rc::gen::map(rc::gen::inRange(0, 100'000),
        [](int number) { return "n" + std::to_string(number) + ".x_y-z"; });
}

StageSpec arbitraryStage(int index, Milliseconds deadline)
{
    StageSpec stage;
    stage.name = "stage-" + std::to_string(index);
    stage.kind = *rc::gen::element(StageKind::Encode, StageKind::Rerank, StageKind::Call);
    stage.pool = PoolId(*arbitraryName());
    stage.timeout = Milliseconds(*rc::gen::inRange<std::int64_t>(1, deadline.count() + 1));
    stage.idempotent = stage.kind != StageKind::Call || *rc::gen::arbitrary<bool>();
    stage.maxTokens = *rc::gen::inRange(1, 1'000'001);
    return stage;
}

CatalogueEntry arbitraryEntry()
{
    CatalogueEntry entry;
    entry.name = PipelineId(*arbitraryName());
    entry.owner = OwnerId(*arbitraryName());
    entry.serviceClass = *rc::gen::element(
        ServiceClass::Urgent, ServiceClass::Standard, ServiceClass::Bulk);
    entry.deadline = Milliseconds(*rc::gen::inRange<std::int64_t>(1, deadlineLimit.count() + 1));
    entry.limits.requestsPerSecond = *rc::gen::inRange(0, 2'000'001) / 2.0;
    entry.limits.requestsInFlight = *rc::gen::inRange(0, 1'000'001);
    entry.limits.tokensPerSecond = *rc::gen::inRange(0, 1'000'001);
    const int stageCount = *rc::gen::inRange(1, static_cast<int>(stageCountLimit) + 1);
    for (int index = 0; index < stageCount; ++index)
        entry.stages.push_back(arbitraryStage(index, entry.deadline));
    return entry;
}

BackendServer arbitraryServer()
{
    BackendServer server;
    server.id = BackendServerId(*arbitraryName());
    server.pool = PoolId(*arbitraryName());
    server.host = HostId(*arbitraryName());
    server.failureDomain = FailureDomainId(*arbitraryName());
    server.address = *rc::gen::element<std::string>("127.0.0.1", "10.1.2.3", "fd00::7");
    server.port = static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536));
    server.warmCap = *rc::gen::inRange(1, 100'001);
    server.coldCap = *rc::gen::inRange(1, server.warmCap + 1);
    server.checksOrders = *rc::gen::arbitrary<bool>();
    return server;
}

boost::json::value serializeAndParse(const boost::json::value& value)
{
    return boost::json::parse(boost::json::serialize(value));
}

// Replaces one piece of text in the valid entry and returns the path of the parse error, or
// "accepted".
std::string errorPathAfterReplacing(std::string_view original, std::string_view replacement)
{
    std::string text = validEntry;
    const std::size_t position = text.find(original);
    CHECK_TRUE(position != std::string::npos);
    text.replace(position, original.size(), replacement);
    try {
        parseCatalogueEntry(PipelineId("sheets"), boost::json::parse(text));
    } catch (const CatalogueError& error) {
        CHECK_FALSE(error.allowed().empty());
        return error.path();
    }
    return "accepted";
}

}

TEST_GROUP(CatalogueJson) {};

TEST(CatalogueJson, entriesAndServersRoundTripThroughJson)
{
    checkProperty("entry round trip", [] {
        const CatalogueEntry entry = arbitraryEntry();
        RC_ASSERT(parseCatalogueEntry(entry.name, serializeAndParse(toJson(entry))) == entry);
    });
    checkProperty("server round trip", [] {
        const BackendServer server = arbitraryServer();
        RC_ASSERT(parseBackendServer(server.id, serializeAndParse(toJson(server))) == server);
    });
    CHECK_TRUE(parseServiceState(toJson(ServiceState::Out)) == ServiceState::Out);
}

TEST(CatalogueJson, errorsReportTheJsonPath)
{
    STRCMP_EQUAL("accepted", errorPathAfterReplacing("kitchen", "galley").c_str());
    STRCMP_EQUAL("accepted",
        errorPathAfterReplacing(
            R"("class")", R"("changed":{"by":"amina","id":"7"},"class")")
            .c_str());
    STRCMP_EQUAL("$.changed.id",
        errorPathAfterReplacing(R"("class")", R"("changed":{"by":"a"},"class")").c_str());
    STRCMP_EQUAL("$.ownr", errorPathAfterReplacing(R"("class")", R"("ownr":1,"class")").c_str());
    STRCMP_EQUAL("$.owner", errorPathAfterReplacing(R"("kitchen")", "7").c_str());
    STRCMP_EQUAL("$.owner", errorPathAfterReplacing("kitchen", "the kitchen").c_str());
    STRCMP_EQUAL("$.class", errorPathAfterReplacing("urgent", "quick").c_str());
    STRCMP_EQUAL("$.deadline_ms", errorPathAfterReplacing("9000", "120001").c_str());
    STRCMP_EQUAL("$.deadline_ms", errorPathAfterReplacing("9000", "9000.5").c_str());
    STRCMP_EQUAL("$.limits.requests_in_flight", errorPathAfterReplacing("40,", "-1,").c_str());
    STRCMP_EQUAL("$.stages[0].timeout_ms", errorPathAfterReplacing("400", "9001").c_str());
    STRCMP_EQUAL("$.stages[0].idempotent",
        errorPathAfterReplacing(R"("timeout_ms":400)", R"("idempotent":false)").c_str());
    STRCMP_EQUAL("$.stages[1].idempotent",
        errorPathAfterReplacing(R"(,"idempotent":false)", "").c_str());
    STRCMP_EQUAL("$.stages[1].name", errorPathAfterReplacing(R"("charge")", R"("encode")").c_str());
}

TEST(CatalogueJson, entriesRequireStagesAndAValidName)
{
    const auto value
        = boost::json::parse(R"({"owner":"a","class":"bulk","deadline_ms":5,"stages":[]})");
    CHECK_THROWS(CatalogueError, parseCatalogueEntry(PipelineId("sheets"), value));
    CHECK_THROWS(CatalogueError, parseCatalogueEntry(PipelineId("a/b"), boost::json::parse(validEntry)));
}

TEST(CatalogueJson, serversRequireAnIpAddressAndAColdCapUpToTheWarmCap)
{
    const char* format = R"({"pool":"p","host":"h","failure_domain":"d","address":"%s","port":80,
        "cold_cap":%d,"warm_cap":4})";
    const auto parse = [format](const char* address, int coldCap) {
        const SimpleString json = StringFromFormat(format, address, coldCap);
        return parseBackendServer(
            BackendServerId("s"), boost::json::parse(json.asCharString()));
    };
    LONGS_EQUAL(4, parse("10.0.0.1", 4).coldCap);
    CHECK_THROWS(CatalogueError, parse("10.0.0.1", 5));
    CHECK_THROWS(CatalogueError, parse("ledger-host", 1));
}

TEST(CatalogueJson, invalidValuesAreParsedOrRejectedWithAPath)
{
    checkProperty("entry with one replaced value", [] {
        boost::json::value value = boost::json::parse(validEntry);
        boost::json::value& stage = value.at("stages").as_array().front();
        boost::json::object& target = *rc::gen::arbitrary<bool>() ? value.as_object()
                                                                  : stage.as_object();
        const auto key = *rc::gen::element<std::string>("owner", "class", "deadline_ms", "limits",
            "stages", "name", "kind", "pool", "timeout_ms", "idempotent", "max_tokens", "other");
        const char* json = *rc::gen::element("null", "-1", "0", "1e300", "18446744073709551615",
            "\"\"", "\"bulk\"", "[]", "{}", "[[]]", "true", "9000");
        target[key] = boost::json::parse(json);
        try {
            const CatalogueEntry entry = parseCatalogueEntry(PipelineId("sheets"), value);
            RC_ASSERT(parseCatalogueEntry(entry.name, toJson(entry)) == entry);
        } catch (const CatalogueError& error) {
            RC_ASSERT(error.path().starts_with("$."));
        }
    });
}
