#include "property.h"

#include "libapricot/dispatchsettings.h"
#include "libapricot/entrysettings.h"

#include <algorithm>

using namespace Apricot;

namespace {

const std::string minimalDispatchSettings = R"(; a comment
[process]
host = entry-1
failure_domain = zone-a
[platform]
address = 127.0.0.1
port = 9000
)";

std::vector<SettingsProblem> loadProblems(const std::string& text, DispatchSettings& settings)
{
    SettingsTable table;
    describe(settings, table);
    try {
        loadSettingsText(text, "dispatch.ini", table);
    } catch (const SettingsError& error) {
        return error.problems();
    }
    return {};
}

// Whether a problem with a description is reported for this key and line of dispatch.ini.
bool hasProblem(const std::vector<SettingsProblem>& problems, int line, const std::string& key)
{
    return std::any_of(problems.begin(), problems.end(),
        [line, &key](const SettingsProblem& problem) {
            return problem.line == line && problem.key == key && problem.file == "dispatch.ini"
                && !problem.problem.empty();
        });
}

}

TEST_GROUP(Settings) {};

TEST(Settings, valuesAndDefaultsAreRead)
{
    DispatchSettings settings;
    const auto problems = loadProblems(minimalDispatchSettings
            + "[membership]\nevidence_ms = 2500 ; inline comment\n[process]\nlog_level = debug\n",
        settings);
    CHECK_TRUE(problems.empty());
    CHECK_TRUE(settings.process.host == HostId("entry-1"));
    CHECK_TRUE(settings.process.logLevel == LogLevel::Debug);
    LONGS_EQUAL(9000, settings.platform.port);
    LONGS_EQUAL(2500, settings.membership.evidence.count());
    LONGS_EQUAL(1000, settings.membership.renewal.count());
}

TEST(Settings, everyProblemIsListedWithItsLine)
{
    DispatchSettings settings;
    const std::string text = "[process]\nhost = entry 1\nhots = a\nno assignment\n[peers]\nport = 1\n"
                             "[peer]\nport = 65536\n[membership]\nevidence_ms = 3s\nrenewal_ms = 50\n"
                             "[platform]\naddress = localhost\n[broken\naddress = 10.0.0.1\n"
        + std::string(300, 'x') + "\n";
    const auto problems = loadProblems(text, settings);
    CHECK_TRUE(hasProblem(problems, 2, "process.host"));
    CHECK_TRUE(hasProblem(problems, 3, "process.hots"));
    CHECK_TRUE(hasProblem(problems, 4, ""));
    CHECK_TRUE(hasProblem(problems, 6, "peers.port"));
    CHECK_TRUE(hasProblem(problems, 8, "peer.port"));
    CHECK_TRUE(hasProblem(problems, 10, "membership.evidence_ms"));
    CHECK_TRUE(hasProblem(problems, 11, "membership.renewal_ms"));
    CHECK_TRUE(hasProblem(problems, 13, "platform.address"));
    CHECK_TRUE(hasProblem(problems, 14, ""));
    CHECK_TRUE(hasProblem(problems, 15, "platform.address"));
    CHECK_TRUE(hasProblem(problems, 16, ""));
    CHECK_TRUE(hasProblem(problems, 0, "process.failure_domain"));
    CHECK_TRUE(hasProblem(problems, 0, "platform.port"));
    LONGS_EQUAL(13, problems.size());
}

// Guards against programs that do not start because a template's placeholder stands for a value that does not exist.
TEST(Settings, anEmptyNumberStandsForItsDefault)
{
    DispatchSettings settings;
    CHECK_TRUE(loadProblems(minimalDispatchSettings + "[membership]\nevidence_ms =\n", settings).empty());
    LONGS_EQUAL(DispatchSettings().membership.evidence.count(), settings.membership.evidence.count());
    // Required numbers have no default, and other values are not omitted by leaving them empty.
    const auto problems = loadProblems("[process]\nhost =\nlog_level =\n[platform]\nport =\n", settings);
    for (const auto& [line, key] : { std::pair(2, "process.host"), std::pair(3, "process.log_level"), std::pair(5, "platform.port") })
        CHECK_TRUE_TEXT(hasProblem(problems, line, key), key);
}

// Guards against programs that do not start because a template's section is repeated for each entry of a table.
TEST(Settings, aSettingMayBeRepeatedWithTheSameValueOnly)
{
    DispatchSettings settings;
    const std::string section = "[membership]\nevidence_ms = 2500\n";
    CHECK_TRUE(loadProblems(minimalDispatchSettings + section + section, settings).empty());
    LONGS_EQUAL(2500, settings.membership.evidence.count());
    const auto problems
        = loadProblems(minimalDispatchSettings + section + "[membership]\nevidence_ms = 2600\n", settings);
    CHECK_TRUE(hasProblem(problems, 11, "membership.evidence_ms"));
    LONGS_EQUAL(1, problems.size());
}

TEST(Settings, constraintsBetweenSettingsAreChecked)
{
    DispatchSettings settings;
    const auto problems
        = loadProblems(minimalDispatchSettings + "[membership]\nrenewal_ms = 2000\n", settings);
    CHECK_TRUE(hasProblem(problems, 0, "membership.evidence_ms"));
    CHECK_TRUE(hasProblem(problems, 0, "membership.removal_ms"));
}

TEST(Settings, aMissingFileIsAnError)
{
    CHECK_THROWS(SettingsError, loadSettingsAs<EntrySettings>("no-such-file.ini"));
}

TEST(Settings, defaultsAreValidValues)
{
    EntrySettings entry;
    DispatchSettings dispatch;
    SettingsTable table;
    describe(entry, table);
    describe(dispatch, table);
    for (const Setting& setting : table.settings()) {
        CHECK_FALSE(setting.spec.effect.empty());
        const std::string text = settingText(setting.target);
        if (!setting.spec.required)
            CHECK_TRUE_TEXT(assignSetting(setting.spec, setting.target, text), setting.name().c_str());
    }
}

TEST(Settings, numbersOutOfRangeAreRefused)
{
    checkProperty("a duration is accepted exactly when it is in range", [](int value) {
        Milliseconds target { 7 };
        const SettingSpec spec { .section = "s", .key = "k_ms", .range = { 100, 60'000 } };
        const bool isAccepted = assignSetting(spec, &target, std::to_string(value));
        RC_ASSERT(isAccepted == (value >= 100 && value <= 60'000));
        RC_ASSERT(target.count() == (isAccepted ? value : 7));
        RC_ASSERT(!assignSetting(spec, &target, std::to_string(value) + "ms"));
    });
}

TEST(Settings, malformedInputIsReportedAsProblems)
{
    checkProperty("arbitrary settings files", [] {
        const auto fragment = rc::gen::element<std::string>("[process]", "[peer]\n", "host", " = ",
            "\n", "port", "7", "\t", ";", "a-b", "]", ":", "\r\n", "host = h\n");
        std::string text;
        for (const std::string& part : *rc::gen::container<std::vector<std::string>>(fragment))
            text += part;
        DispatchSettings settings;
        for (const SettingsProblem& problem : loadProblems(text, settings))
            RC_ASSERT(problem.line >= 0 && !describe(problem).empty());
    });
}
