#include "property.h"

#include "ctl/blockingcall.h"
#include "ctl/commandline.h"
#include "ctl/jsontext.h"
#include "emulator/platform/platformserver.h"
#include "libapricot/cellstatejson.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace Apricot;

namespace {

constexpr const char* sheets = R"({"kind":"pipeline","name":"sheets","spec":{"owner":"kitchen",
    "class":"urgent","deadline_ms":9000,"stages":[{"name":"g","kind":"generate","pool":"p"}]}})";

// The platform emulator on a thread of its own, and files for the tool to read.
class Bench {
public:
    Bench()
        : m_server(m_context, {})
        , m_thread([this] { m_context.run(); })
    {
        std::filesystem::create_directory(m_folder);
    }

    ~Bench()
    {
        m_context.stop();
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }

    std::string file(const std::string& name, const std::string& text) const
    {
        const std::filesystem::path path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }

    CommandContext context(const std::string& author) const
    {
        return { .platform = { .port = m_server.port() }, .author = { author } };
    }

    CommandResult run(const std::vector<std::string>& words, const std::string& author = "amina") const
    {
        return runCommand(words, context(author));
    }

    // Exit code of a command, also of one that ends with an error.
    int code(const std::vector<std::string>& words, std::string* message = nullptr) const
    {
        try {
            return static_cast<int>(run(words).code);
        } catch (const CommandError& error) {
            if (message != nullptr)
                *message = error.what();
            return static_cast<int>(error.code());
        }
    }

    void put(const std::string& key, const std::string& json) const
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

TEST(Ctl, aFileIsAppliedOnceAndReadBack)
{
    const Bench bench;
    const std::string file = bench.file("sheets.json", sheets);
    CHECK_TRUE(contains(bench.run({ "apply", file }).text, "pipeline sheets created"));
    CHECK_TRUE(contains(bench.run({ "apply", file }).text, "pipeline sheets unchanged"));
    LONGS_EQUAL(0, bench.code({ "diff", file }));
    CHECK_TRUE(contains(bench.run({ "list" }).text, "by amina"));
    const std::string copy = bench.file("copy.json", bench.run({ "get", "pipeline", "sheets" }).text);
    LONGS_EQUAL(0, bench.code({ "diff", copy }));
    LONGS_EQUAL(0, bench.code({ "delete", "pipeline", "sheets" }));
    LONGS_EQUAL(4, bench.code({ "get", "pipeline", "sheets" }));
}

TEST(Ctl, theLoserOfAConflictIsToldWhoWon)
{
    const Bench bench;
    bench.run({ "apply", bench.file("sheets.json", sheets) });
    std::string mine = bench.run({ "get", "pipeline", "sheets" }).text;
    mine.replace(mine.find("9000"), 4, "8000");
    std::string theirs = sheets;
    theirs.replace(theirs.find("9000"), 4, "7000");
    bench.run({ "apply", bench.file("theirs.json", theirs) }, "bo");
    std::string message;
    const std::string file = bench.file("mine.json", mine);
    LONGS_EQUAL(5, bench.code({ "diff", file }));
    LONGS_EQUAL(3, bench.code({ "apply", file }, &message));
    CHECK_TRUE(contains(message, "based on version 1, but version 2 by bo stands"));
    const std::string other
        = bench.file("zone.json", R"({"kind":"domain","name":"zone-a","spec":{"state":"in"}})");
    LONGS_EQUAL(3, bench.code({ "apply", other, file }, &message));
    CHECK_TRUE(contains(message, "domain zone-a created, version 3\ncatalogue/sheets: conflict"));
    CHECK_TRUE(contains(bench.run({ "get", "pipeline", "sheets" }).text, "7000"));
    LONGS_EQUAL(3, bench.code({ "delete", "pipeline", "sheets", "1" }));
}

TEST(Ctl, ofTwoOperatorsWhoRaceOneWins)
{
    const Bench bench;
    for (const char* deadline : { "8000", "7000", "6000", "5000" }) {
        std::string first = sheets;
        first.replace(first.find("9000"), 4, deadline);
        // Both changes are based on what stands before either is written.
        const bool isNew = bench.code({ "get", "pipeline", "sheets" }) == 4;
        const std::string version
            = isNew ? "0" : std::to_string(bench.run({ "list" }).json.at(0).at("version").as_uint64());
        first.insert(1, "\"version\":" + version + ",");
        std::string second = first;
        second.replace(second.find("urgent"), 6, "bulk");
        const std::string files[] { bench.file("1.json", first), bench.file("2.json", second) };
        int codes[] { -1, -1 };
        std::thread other([&] { codes[1] = bench.code({ "apply", files[1] }); });
        codes[0] = bench.code({ "apply", files[0] });
        other.join();
        LONGS_EQUAL(3, codes[0] + codes[1]);
        CHECK_TRUE(codes[0] == 0 || codes[1] == 0);
        LONGS_EQUAL(0, bench.code({ "diff", files[codes[0] == 0 ? 0 : 1] }));
    }
}

TEST(Ctl, aLostAnswerIsNeverTakenForAConflict)
{
    const Bench bench;
    int done = 0;
    for (int round = 0; round < 20; ++round) {
        bench.setFaults(R"({"lose_answers":0.5,"seed":)" + std::to_string(round) + "}");
        std::string changed = sheets;
        changed.replace(changed.find("9000"), 4, std::to_string(5000 + round));
        const std::string file = bench.file("sheets.json", changed);
        const int code = bench.code({ "apply", file });
        CHECK_TRUE(code == 0 || code == 1);
        done += code == 0 ? 1 : 0;
        LONGS_EQUAL(0, bench.code({ "diff", file }));
    }
    CHECK_TRUE(done > 10);
}

TEST(Ctl, nothingIsWrittenWhenOneFileIsNotValid)
{
    const Bench bench;
    std::string broken = sheets;
    broken.replace(broken.find("urgent"), 6, "hasty!");
    std::string message;
    LONGS_EQUAL(2,
        bench.code({ "apply", bench.file("a.json", sheets), bench.file("b.json", broken) }, &message));
    CHECK_TRUE(contains(message, "b.json: $.spec.class: must be one of"));
    LONGS_EQUAL(4, bench.code({ "get", "pipeline", "sheets" }));
    LONGS_EQUAL(2, bench.code({ "apply", bench.file("c.json", "{\"kind\":"), "missing.json" }));
}

TEST(Ctl, validateWarnsOfLimitsThatDifferAndOfEmptyPools)
{
    const Bench bench;
    std::string other = sheets;
    other.replace(other.find("\"sheets\""), 8, "\"notes\"");
    other.replace(other.find("\"class\""), 7, R"("limits":{"requests_in_flight":3},"class")");
    const CommandResult result = bench.run(
        { "validate", bench.file("list.json", "[" + std::string(sheets) + "," + other + "]") });
    CHECK_TRUE(contains(result.text, "pool p has no server"));
    CHECK_TRUE(contains(result.text, "other limits"));
    LONGS_EQUAL(2, result.json.at("objects").to_number<int>());
}

TEST(Ctl, statusShowsWhoLags)
{
    const Bench bench;
    bench.put("status/entry-1", R"({"version":9,"invalid":[]})");
    bench.put("status/entry-9", R"({"version":1,"invalid":[]})");
    bench.put("cells/cell-1", boost::json::serialize(cellStateToJson({ .members = { { .host = HostId("entry-1") }, { .host = HostId("entry-2") } } })));
    LONGS_EQUAL(0, bench.code({ "host", "out", "rack4-07" }));
    CHECK_TRUE(contains(bench.run({ "host", "out", "rack4-07" }).text, "out already"));
    const CommandResult result = bench.run({ "status" });
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
    const Bench bench;
    LONGS_EQUAL(2, bench.code({ "frobnicate" }));
    LONGS_EQUAL(2, bench.code({ "get", "pipeline" }));
    LONGS_EQUAL(2, bench.code({ "domain", "sideways", "zone-a" }));
    LONGS_EQUAL(2, bench.code({ "dump", "localhost:80" }));
}

TEST(Ctl, prettyJsonIsTheSameValue)
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
