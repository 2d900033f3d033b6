#include "property.h"

#include "libnet/log.h"

#include <boost/json/parse.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Apricot;

namespace {

std::string stringField(const boost::json::value& line, std::string_view key)
{
    const boost::json::string& field = line.as_object().at(key).as_string();
    return { field.data(), field.size() };
}

}

TEST_GROUP(Log) {
    void teardown() override { startLog({ .level = LogLevel::Error });
}
}
;

TEST(Log, arbitraryTextRoundTripsThroughJson)
{
    checkProperty("escaping", [](const std::vector<std::uint8_t>& bytes) {
        std::string input;
        for (const std::uint8_t byte : bytes)
            input += static_cast<char>(byte & 0x7fU);
        const std::string line = logLine(
            { .program = input }, LogLevel::Warning, "event_name", { { "request", input } });
        RC_ASSERT(line.find('\n') == std::string::npos);
        const boost::json::value parsed = boost::json::parse(line);
        RC_ASSERT(stringField(parsed, "request") == input);
        RC_ASSERT(stringField(parsed, "program") == input);
        RC_ASSERT(stringField(parsed, "level") == "warning");
    });
}

TEST(Log, writesLinesFromTheSetLevelUpToTheFile)
{
    const std::string file = (std::filesystem::temp_directory_path()
        / ("apricot-log-" + std::to_string(getpid()) + ".jsonl"))
                                 .string();
    startLog({ .program = "test", .host = HostId("entry-1"), .file = file });
    writeLog(LogLevel::Debug, "dropped");
    writeLog(LogLevel::Info, "kept", { { "request", "%msg %level \"x\"\n" }, { "count", 3 } });
    std::ifstream stream(file);
    std::string line;
    CHECK_TRUE(static_cast<bool>(std::getline(stream, line)));
    const boost::json::value parsed = boost::json::parse(line);
    STRCMP_EQUAL("kept", stringField(parsed, "event").c_str());
    STRCMP_EQUAL("entry-1", stringField(parsed, "host").c_str());
    STRCMP_EQUAL("%msg %level \"x\"\n", stringField(parsed, "request").c_str());
    LONGS_EQUAL(24, stringField(parsed, "time").size());
    CHECK_FALSE(static_cast<bool>(std::getline(stream, line)));
    std::remove(file.c_str());
}
