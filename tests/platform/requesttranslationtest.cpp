#include "platform/requesttranslation.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(RequestTranslation)
{
    HttpRequest request { .method = "POST",
        .path = "/p/1",
        .target = "/p/1?x",
        .fields = { { "Host", "a.example" }, { "Apricotpier-Request-Id", "9c41" },
            { "apricotpier-deadline-ms", "8000" }, { "Authorization", "bearer key-1" },
            { "Apricotpier-Token-Usage", "1460,80" },
            { "Apricotpier-Prefix-Hash", "5c1e:800, 91bd:410,e440:250" },
            { "Apricotpier-Chunk-Count", "2,0,7" }, { "Apricotpier-Chunk-Key", "7c1e" },
            { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Own", "2" },
            { "Content-Length", "3" }, { "Apricotpier-Tenant", "forged" },
            { "Apricotpier-Kv-Retention", "stolen" }, { "Kv-From", "10.0.0.1:1/2" },
            { "Apricotpier-Pin-Ms", "9" }, { "Apricotpier-Kv-Backup", "10.0.0.1:1" } } };

    static std::string fieldOf(const std::vector<HttpField>& fields, std::string_view name)
    {
        return std::string(HttpResponseHead { .fields = fields }.field(name));
    }
};

TEST(RequestTranslation, readsTheCallersHeader)
{
    const CallerRequest caller = Platform::readCallerRequest(request);
    STRCMP_EQUAL("9c41", caller.id.c_str());
    LONGS_EQUAL(8000, caller.timeout->count());
    STRCMP_EQUAL("key-1", caller.apiKey.c_str());
    DOUBLES_EQUAL(1460, caller.promptTokens, 0);
    DOUBLES_EQUAL(80, caller.outputTokens, 0);
    LONGS_EQUAL(3, caller.promptParts.size());
    CHECK(caller.promptParts[1] == (PromptPart { "91bd", 410 }));
    CHECK(caller.stagePieces == std::vector<int>({ 2, 0, 7 }));
}

TEST(RequestTranslation, ignoresMalformedHeaderValues)
{
    const HttpRequest malformed { .fields = { { "Apricotpier-Deadline-Ms", "soon" },
                                      { "Authorization", "Basic abc" },
                                      { "Apricotpier-Chunk-Count", "x" } } };
    const CallerRequest caller = Platform::readCallerRequest(malformed);
    CHECK(!caller.timeout);
    CHECK(caller.apiKey.empty());
    CHECK(caller.stagePieces == std::vector<int>({ 0 }));
}

TEST(RequestTranslation, forwardsTheCallersFieldsExceptReservedOnes)
{
    const auto fields = Platform::backendFields(request,
        { .timeLeft = Milliseconds(1200),
            .server = BackendServerId("i-1"),
            .owner = OwnerId("kitchen"),
            .inputs = { "h1", "h2" } });
    STRCMP_EQUAL("a.example", fieldOf(fields, "Host").c_str());
    STRCMP_EQUAL("9c41", fieldOf(fields, "Apricotpier-Request-Id").c_str());
    STRCMP_EQUAL("2", fieldOf(fields, "X-Own").c_str());
    STRCMP_EQUAL("1200", fieldOf(fields, "Apricotpier-Deadline-Ms").c_str());
    STRCMP_EQUAL("i-1", fieldOf(fields, "Apricotpier-Expect-Instance").c_str());
    STRCMP_EQUAL("kitchen", fieldOf(fields, "Apricotpier-Tenant").c_str());
    STRCMP_EQUAL("h1,h2", fieldOf(fields, "Apricotpier-Input-Count").c_str());
    for (const char* name : { "Authorization", "Connection", "X-Hop", "Content-Length",
             "Apricotpier-Kv-Retention", "Kv-From", "Apricotpier-Pin-Ms", "Apricotpier-Kv-Backup" })
        STRCMP_EQUAL_TEXT("", fieldOf(fields, name).c_str(), name);
}

TEST(RequestTranslation, dropsAForgedOwnerFieldWithoutAnApiKey)
{
    const auto fields = Platform::backendFields(request, { .timeLeft = Milliseconds(1) });
    STRCMP_EQUAL("", fieldOf(fields, "Apricotpier-Tenant").c_str());
}

TEST(RequestTranslation, recognizesSignedResponsesOfTheServer)
{
    const HttpResponseHead valid { .status = 200,
        .fields = { { "Apricotpier-Server-Stamp", "3e" }, { "Apricotpier-Request-Id", "9c41" } } };
    CHECK(Platform::readResponseMarkers(valid).isSigned);
    CHECK(!Platform::readResponseMarkers(valid).isNotRun);
    CHECK_TRUE(Platform::ownerOfResponse(valid, "9c41") == ResponseOwner::ThisCall);
    CHECK_TRUE(Platform::ownerOfResponse(valid, "other") == ResponseOwner::OtherCall);
    const HttpResponseHead notRun { .status = 503, .fields = { { "Apricotpier-Not-Executed", "1" } } };
    CHECK(Platform::readResponseMarkers(notRun).isNotRun);
    CHECK(Platform::readResponseMarkers({ .status = 421 }).isNotRun);
    CHECK(!Platform::readResponseMarkers({ .status = 503 }).isNotRun);
    CHECK(Platform::readResponseMarkers({ .status = 200, .fields = { { "Content-Encoding", "gzip" } } })
              .isEncoded);
}

// Guards against a response that a caller takes for the promise that its request has not run, and that counts as any
// other response.
TEST(RequestTranslation, recognizesStatusesThatPromiseThatTheRequestHasNotRun)
{
    for (const int status : { 408, 421, 429, 503 })
        CHECK_TRUE(Platform::readResponseMarkers({ .status = status }).promisesNotRun);
    for (const int status : { 200, 302, 400, 404, 409, 500, 502, 504, 507, 599 })
        CHECK_FALSE(Platform::readResponseMarkers({ .status = status }).promisesNotRun);
}
