#include "libserving/eventsplitter.h"
#include "platform/names.h"
#include "platform/objecttranslation.h"
#include "platform/requesttranslation.h"
#include "platform/stagetranslation.h"
#include "storetexts.h"

#include "unit/property.h"

#include <boost/json/parse.hpp>

#include <functional>
#include <random>

using namespace Apricot;
namespace json = boost::json;
namespace Names = PlatformNames;

// Malformed input: valid texts with bytes changed, removed, duplicated and replaced. RC_PARAMS sets the
// seed and the number of cases.
namespace {

constexpr const char* resultsText
    = R"({"entries":[{"handle":"10.1.64.7:8080/91bd3f06e44"},{"reason":"gone"}]})";

// Fragments that parsers tend to mishandle.
constexpr const char* malformedFragments[] = { "null", "-1", "1e400", "18446744073709551616", "[]", "{}",
    "\"", "\\u0000", "\xff\xfe", "[[[[[[[[", "true", ",", ":", "\r\n", "\n\n" };

std::string mutate(std::string text, std::mt19937_64& random)
{
    const auto randomBelow = [&random](std::size_t bound) { return random() % std::max<std::size_t>(bound, 1); };
    const std::size_t changes = 1 + randomBelow(4);
    for (std::size_t change = 0; change < changes; ++change) {
        const std::size_t at = randomBelow(text.size());
        const std::size_t length = randomBelow(12);
        switch (randomBelow(4)) {
        case 0:
            text.replace(at, 1, 1, static_cast<char>(randomBelow(256)));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.replace(at, randomBelow(6), malformedFragments[randomBelow(std::size(malformedFragments))]);
        }
    }
    return text;
}

// Whether a text is empty or its last line is blank. A line ends with CR LF, LF or CR.
bool endsWithBlankLine(std::string_view text)
{
    if (text.empty())
        return true;
    if (text.ends_with("\r\n"))
        text.remove_suffix(1);
    if (!text.ends_with('\n') && !text.ends_with('\r'))
        return false;
    text.remove_suffix(1);
    return text.empty() || text.ends_with('\n') || text.ends_with('\r');
}

// Mutates a text and passes it to a reader if it is still valid JSON.
void readMutated(const char* text, std::uint64_t seed, const std::function<void(const json::value&)>& read)
{
    std::mt19937_64 random(seed);
    const std::string mutated = mutate(text, random);
    json::error_code error;
    const json::value value = json::parse(mutated, error);
    if (!error)
        read(value);
}

}

TEST_GROUP(MalformedInput) {};

TEST(MalformedInput, aServerEntryIsUsableOrIgnored)
{
    checkProperty("store entries", [](std::uint64_t seed) {
        readMutated(serverText, seed, [](const json::value& value) {
            const auto server = Platform::readServerEntry("i-1", value);
            RC_ASSERT(!server || (server->endpoint.port > 0 && !server->pool.empty()));
        });
    });
}

TEST(MalformedInput, aConfigurationIsCompleteOrRejected)
{
    checkProperty("configurations", [](std::uint64_t seed) {
        readMutated(configText, seed, [](const json::value& value) {
            try {
                const ServingConfig config = Platform::readServingConfig(value);
                for (const Route& route : config.routes)
                    RC_ASSERT(!route.pools.empty());
            } catch (const std::exception&) {
                // Rejected.
            }
        });
    });
}

TEST(MalformedInput, pieceResultsAreReadOrRejected)
{
    checkProperty("results", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        try {
            for (const PieceResult& result : Platform::readPieceResults(mutate(resultsText, random)))
                RC_ASSERT(result.outcome == PieceOutcome::Done || result.handle.empty());
        } catch (const std::exception&) {
            // Rejected: the call counts as broken.
        }
    });
}

TEST(MalformedInput, aCallersHeaderIsReadWithoutItsMalformedParts)
{
    checkProperty("headers", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        HttpRequest request;
        const std::pair<std::string_view, const char*> fields[]
            = { { Names::deadlineField, "8000" }, { Names::tokenUsageField, "1460,80" },
                  { Names::promptPartsField, "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
                  { Names::pieceCountsField, "1,4,10" }, { "Authorization", "Bearer 9dnn2ct" } };
        for (const auto& [name, value] : fields)
            request.fields.push_back({ std::string(name), mutate(value, random) });
        const CallerRequest caller = Platform::readCallerRequest(request);
        RC_ASSERT(caller.promptParts.size() <= 64U);
    });
}

TEST(MalformedInput, eventsAreCompleteWhateverTheEngineSends)
{
    checkProperty("events", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::string sent = mutate("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", random);
        EventSplitter splitter;
        std::string events;
        for (const char byte : sent)
            events += splitter.feed(std::string_view(&byte, 1));
        RC_ASSERT(events + splitter.partialEvent() == sent);
        RC_ASSERT(endsWithBlankLine(events));
    });
}
