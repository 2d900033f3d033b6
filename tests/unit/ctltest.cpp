#include "property.h"

#include "ctl/blockingcall.h"
#include "ctl/commandline.h"
#include "ctl/jsontext.h"
#include "emulator/platform/platformserver.h"
#include "libapricot/cellstatejson.h"
#include "libserving/poisonobject.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace Apricot;

namespace {

constexpr const char* sheetsJson = R"({"kind":"pipeline","name":"sheets","spec":{"owner":"kitchen",
    "class":"urgent","deadline_ms":9000,"stages":[{"name":"g","kind":"generate","pool":"p"}]}})";

// Runs the platform emulator on its own thread and writes input files for apricotctl.
class CtlFixture {
public:
    CtlFixture()
        : m_server(m_context, {})
        , m_thread([this] { m_context.run(); })
    {
        std::filesystem::create_directory(m_folder);
    }

    ~CtlFixture()
    {
        m_context.stop();
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }

    std::string writeFile(const std::string& name, const std::string& text) const
    {
        const std::filesystem::path path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }

    CommandContext context(const std::string& author) const
    {
        return { .platform = { .port = m_server.port() }, .author = { author } };
    }

    CommandResult run(
        const std::vector<std::string>& arguments, const std::string& author = "amina") const
    {
        return runCommand(arguments, context(author));
    }

    // Returns the exit code of a command. A CommandError also stores its text in the message.
    int exitCode(const std::vector<std::string>& arguments, std::string* message = nullptr) const
    {
        try {
            return static_cast<int>(run(arguments).code);
        } catch (const CommandError& error) {
            if (message != nullptr)
                *message = error.what();
            return static_cast<int>(error.code());
        }
    }

    void putObject(const std::string& key, const std::string& json) const
    {
        PlatformStore store = context("test").store();
        store.put(key, boost::json::parse(json), 0);
    }

    void setFaults(const std::string& json) const
    {
        boost::asio::io_context context;
        HttpClient client(context, { .port = m_server.port() });
        const HttpCall call { .method = "PUT", .target = "/faults", .body = json };
        LONGS_EQUAL(200, runBlocking(context, client.send(call)).status);
    }

private:
    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("apricot-ctl-" + std::to_string(getpid()));
    boost::asio::io_context m_context;
    PlatformServer m_server;
    std::thread m_thread;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}

TEST_GROUP(Ctl) {};

TEST(Ctl, appliesReadsAndDeletesAPipeline)
{
    const CtlFixture fixture;
    const std::string file = fixture.writeFile("sheets.json", sheetsJson);
    CHECK_TRUE(contains(fixture.run({ "apply", file }).text, "pipeline sheets created"));
    CHECK_TRUE(contains(fixture.run({ "apply", file }).text, "pipeline sheets unchanged"));
    LONGS_EQUAL(0, fixture.exitCode({ "diff", file }));
    CHECK_TRUE(contains(fixture.run({ "list" }).text, "by amina"));
    const std::string copy
        = fixture.writeFile("copy.json", fixture.run({ "get", "pipeline", "sheets" }).text);
    LONGS_EQUAL(0, fixture.exitCode({ "diff", copy }));
    LONGS_EQUAL(0, fixture.exitCode({ "delete", "pipeline", "sheets" }));
    LONGS_EQUAL(4, fixture.exitCode({ "get", "pipeline", "sheets" }));
}

TEST(Ctl, conflictErrorsNameTheStoredVersionAndItsAuthor)
{
    const CtlFixture fixture;
    fixture.run({ "apply", fixture.writeFile("sheets.json", sheetsJson) });
    std::string ownChange = fixture.run({ "get", "pipeline", "sheets" }).text;
    ownChange.replace(ownChange.find("9000"), 4, "8000");
    std::string otherChange = sheetsJson;
    otherChange.replace(otherChange.find("9000"), 4, "7000");
    fixture.run({ "apply", fixture.writeFile("theirs.json", otherChange) }, "bo");
    std::string message;
    const std::string file = fixture.writeFile("mine.json", ownChange);
    LONGS_EQUAL(5, fixture.exitCode({ "diff", file }));
    LONGS_EQUAL(3, fixture.exitCode({ "apply", file }, &message));
    CHECK_TRUE(contains(message, "based on version 1, but version 2 by bo stands"));
    const std::string other
        = fixture.writeFile("zone.json",
            R"({"kind":"domain","name":"zone-a","spec":{"state":"in"}})");
    LONGS_EQUAL(3, fixture.exitCode({ "apply", other, file }, &message));
    CHECK_TRUE(contains(message, "domain zone-a created, version 3\ncatalogue/sheets: conflict"));
    CHECK_TRUE(contains(fixture.run({ "get", "pipeline", "sheets" }).text, "7000"));
    LONGS_EQUAL(3, fixture.exitCode({ "delete", "pipeline", "sheets", "1" }));
}

TEST(Ctl, exactlyOneOfTwoConcurrentChangesIsStored)
{
    const CtlFixture fixture;
    for (const char* deadline : { "8000", "7000", "6000", "5000" }) {
        std::string first = sheetsJson;
        first.replace(first.find("9000"), 4, deadline);
        // Both changes are based on the version stored before either of them is written.
        const bool isNew = fixture.exitCode({ "get", "pipeline", "sheets" }) == 4;
        const std::string version
            = isNew ? "0"
                    : std::to_string(fixture.run({ "list" }).json.at(0).at("version").as_uint64());
        first.insert(1, "\"version\":" + version + ",");
        std::string second = first;
        second.replace(second.find("urgent"), 6, "bulk");
        const std::string files[] { fixture.writeFile("1.json", first),
            fixture.writeFile("2.json", second) };
        int codes[] { -1, -1 };
        std::thread otherOperator([&] { codes[1] = fixture.exitCode({ "apply", files[1] }); });
        codes[0] = fixture.exitCode({ "apply", files[0] });
        otherOperator.join();
        LONGS_EQUAL(3, codes[0] + codes[1]);
        CHECK_TRUE(codes[0] == 0 || codes[1] == 0);
        LONGS_EQUAL(0, fixture.exitCode({ "diff", files[codes[0] == 0 ? 0 : 1] }));
    }
}

TEST(Ctl, lostResponsesAreNotReportedAsConflicts)
{
    const CtlFixture fixture;
    int succeeded = 0;
    for (int round = 0; round < 20; ++round) {
        fixture.setFaults(R"({"lose_answers":0.5,"seed":)" + std::to_string(round) + "}");
        std::string changed = sheetsJson;
        changed.replace(changed.find("9000"), 4, std::to_string(5000 + round));
        const std::string file = fixture.writeFile("sheets.json", changed);
        const int code = fixture.exitCode({ "apply", file });
        CHECK_TRUE(code == 0 || code == 1);
        succeeded += code == 0 ? 1 : 0;
        LONGS_EQUAL(0, fixture.exitCode({ "diff", file }));
    }
    CHECK_TRUE(succeeded > 10);
}

TEST(Ctl, writesNothingWhenOneFileIsInvalid)
{
    const CtlFixture fixture;
    std::string invalid = sheetsJson;
    invalid.replace(invalid.find("urgent"), 6, "hasty!");
    std::string message;
    LONGS_EQUAL(2,
        fixture.exitCode({ "apply", fixture.writeFile("a.json", sheetsJson),
                             fixture.writeFile("b.json", invalid) },
            &message));
    CHECK_TRUE(contains(message, "b.json: $.spec.class: must be one of"));
    LONGS_EQUAL(4, fixture.exitCode({ "get", "pipeline", "sheets" }));
    LONGS_EQUAL(2,
        fixture.exitCode({ "apply", fixture.writeFile("c.json", "{\"kind\":"), "missing.json" }));
}

TEST(Ctl, validateWarnsAboutDifferingLimitsAndEmptyPools)
{
    const CtlFixture fixture;
    std::string other = sheetsJson;
    other.replace(other.find("\"sheets\""), 8, "\"notes\"");
    other.replace(other.find("\"class\""), 7, R"("limits":{"requests_in_flight":3},"class")");
    const CommandResult result = fixture.run(
        { "validate",
            fixture.writeFile("list.json", "[" + std::string(sheetsJson) + "," + other + "]") });
    CHECK_TRUE(contains(result.text, "pool p has no server"));
    CHECK_TRUE(contains(result.text, "other limits"));
    LONGS_EQUAL(2, result.json.at("objects").to_number<int>());
}

TEST(Ctl, statusListsLaggingHosts)
{
    const CtlFixture fixture;
    fixture.putObject("status/entry-1", R"({"version":9,"invalid":[]})");
    fixture.putObject("status/entry-9", R"({"version":1,"invalid":[]})");
    fixture.putObject("cells/cell-1",
        boost::json::serialize(cellStateToJson(
            { .members = { { .host = HostId("entry-1") }, { .host = HostId("entry-2") } } })));
    LONGS_EQUAL(0, fixture.exitCode({ "host", "out", "rack4-07" }));
    CHECK_TRUE(contains(fixture.run({ "host", "out", "rack4-07" }).text, "out already"));
    const CommandResult result = fixture.run({ "status" });
    LONGS_EQUAL(5, static_cast<int>(result.code));
    CHECK_TRUE(contains(result.text, "newest version 4\n"));
    CHECK_TRUE(contains(result.text, "entry-1 has version 9, in force\n"));
    CHECK_TRUE(contains(result.text, "entry-2 has version 0, lags\n"));
    CHECK_TRUE(contains(result.text, "entry-9 has version 1, is in no cell\n"));
}

TEST(Ctl, everyCommandHasHelpWithAnExample)
{
    for (const Command& command : commands()) {
        const std::string text = helpText(command.name);
        CHECK_TRUE(contains(text, "Example:\n  apricotctl " + std::string(command.name)));
        CHECK_TRUE(contains(helpText(), std::string(command.summary)));
    }
    const CtlFixture fixture;
    LONGS_EQUAL(2, fixture.exitCode({ "frobnicate" }));
    LONGS_EQUAL(2, fixture.exitCode({ "get", "pipeline" }));
    LONGS_EQUAL(2, fixture.exitCode({ "domain", "sideways", "zone-a" }));
    LONGS_EQUAL(2, fixture.exitCode({ "dump", "localhost:80" }));
}

TEST(Ctl, prettyJsonKeepsTheValueAndDifferencesReportPaths)
{
    const boost::json::value value
        = boost::json::parse(R"({"a":[1,{"b":"x\"y"},[]],"c":{},"d":null})");
    CHECK_TRUE(boost::json::parse(prettyJson(value)) == value);
    const auto differences
        = jsonDifferences(value, boost::json::parse(R"({"a":[1,{"b":"z"}],"d":null,"e":2})"));
    LONGS_EQUAL(4, differences.size());
    STRCMP_EQUAL("$.a[1].b", differences.front().path.c_str());
    STRCMP_EQUAL("2", differences.back().after.c_str());
}

TEST(Ctl, aRefusedRequestIsListedAndCleared)
{
    const CtlFixture fixture;
    PoisonNotice notice { .fingerprint = 0x2a };
    for (int server = 1; server <= 3; ++server)
        notice.crashes.push_back({ BackendServerId("s" + std::to_string(server)), server });
    fixture.context("amina").store().put("apricot-poison/host-1", toJson({ notice }), 0);
    STRCMP_EQUAL("000000000000002a  refused  s1  s2  s3\n", fixture.run({ "poisoned" }).text.c_str());
    LONGS_EQUAL(static_cast<int>(ExitCode::Invalid), fixture.exitCode({ "poisoned-clear", "2a" }));
    LONGS_EQUAL(static_cast<int>(ExitCode::NotFound),
        fixture.exitCode({ "poisoned-clear", "000000000000002b" }));
    fixture.run({ "poisoned-clear", "000000000000002a" });
    STRCMP_EQUAL("000000000000002a  none\n", fixture.run({ "poisoned" }).text.c_str());
    LONGS_EQUAL(static_cast<int>(ExitCode::NotFound),
        fixture.exitCode({ "poisoned-clear", "000000000000002a" }));
}
