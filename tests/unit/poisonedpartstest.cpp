#include "libapricot/poisontable.h"
#include "property.h"

using namespace Apricot;

namespace {

ServerCrash crashOf(int server)
{
    return { BackendServerId("s" + std::to_string(server)), server };
}

PoisonSubject part(const std::string& id)
{
    return { fingerprintOfPart(id), id };
}

// Subjects of a request that is like no other one.
std::vector<PoisonSubject> requestWith(const std::vector<std::string>& parts)
{
    static Fingerprint next = 1;
    std::vector<PoisonSubject> subjects { { next++ } };
    for (const std::string& id : parts)
        subjects.push_back(part(id));
    return subjects;
}

}

TEST_GROUP(PoisonedParts)
{
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    int servers = 0;

    void crash(const std::vector<std::string>& parts, bool clearsParts = false)
    {
        now += Milliseconds(10);
        table.recordCrash(requestWith(parts), crashOf(servers++), clearsParts, now);
    }

    void finish(const std::vector<std::string>& parts)
    {
        now += Milliseconds(10);
        table.recordFinish(requestWith(parts), ServerCrash::requestStage, now);
    }

    bool isRefused(const std::string& id) const { return table.isRefused(part(id).fingerprint, now); }
};

TEST(PoisonedParts, aPartIsRefusedAfterThreeCrashesOfRequestsThatShareNothingElse)
{
    crash({ "bad", "a" });
    crash({ "bad", "b" });
    CHECK_FALSE(isRefused("bad"));
    CHECK_FALSE(table.mayRun(requestWith({ "bad" }), {}, 1, now));
    CHECK_TRUE(table.mayRun(requestWith({ "bad" }), {}, 0, now));
    crash({ "c", "bad" });
    CHECK_TRUE(isRefused("bad"));
    CHECK_FALSE(table.mayRun(requestWith({ "d", "bad" }), {}, 0, now));
    for (const char* sound : { "a", "b", "c" })
        CHECK_TRUE(table.mayRun(requestWith({ sound }), {}, 1, now));
}

// Guards against refusing the parts that always come before a bad one.
TEST(PoisonedParts, aPartThatHasFinishedBeforeIsNotBlamedForOneThatNeverDid)
{
    finish({ "system", "sound" });
    for (int index = 0; index < 8; ++index)
        crash({ "system", "bad" });
    CHECK_TRUE(isRefused("bad"));
    CHECK_FALSE(isRefused("system"));
    CHECK_TRUE(table.mayRun(requestWith({ "system", "other" }), {}, 1, now));
}

TEST(PoisonedParts, partsThatCannotBeToldApartAreRefusedTogetherUntilOneFinishes)
{
    for (int index = 0; index < 3; ++index)
        crash({ "system", "bad" });
    CHECK_TRUE(isRefused("bad"));
    CHECK_TRUE(isRefused("system"));
    finish({ "system", "sound" });
    CHECK_TRUE(isRefused("bad"));
    CHECK_FALSE(isRefused("system"));
}

// Guards against counting successes of long ago for a part that turned bad, such as by a release of the engines.
TEST(PoisonedParts, aPartThatTurnsBadIsRefused)
{
    for (int index = 0; index < 20; ++index)
        finish({ "system", "part " + std::to_string(index) });
    for (int index = 0; index < 3; ++index)
        crash({ "system", "other " + std::to_string(index) });
    CHECK_TRUE(isRefused("system"));
}

TEST(PoisonedParts, aPartThatFinishesBetweenCrashesIsNeverRefused)
{
    for (int index = 0; index < 40; ++index) {
        crash({ "popular" });
        CHECK_FALSE(isRefused("popular"));
        if (index % 2 == 1)
            finish({ "popular" });
    }
}

TEST(PoisonedParts, aPartWithWhichServersRespondedForLongIsNotRefused)
{
    for (int index = 0; index < 8; ++index)
        crash({ "popular" }, true);
    CHECK_FALSE(isRefused("popular"));
    LONGS_EQUAL(0, table.crashCount(part("popular").fingerprint, now));
}

// Guards against refusing the parts of one request that returns and crashes its servers by something else.
TEST(PoisonedParts, theCrashesOfOneRefusedRequestDoNotCountAgainstItsParts)
{
    const std::vector<PoisonSubject> request = requestWith({ "rare" });
    for (int server = 0; server < 5; ++server)
        table.recordCrash(request, crashOf(server), false, now);
    CHECK_TRUE(table.isRefused(request.front().fingerprint, now));
    CHECK_FALSE(isRefused("rare"));
}

TEST(PoisonedParts, twoRefusedRequestsWithTheSamePartPointAtIt)
{
    for (int request = 0; request < 2; ++request) {
        const std::vector<PoisonSubject> subjects = requestWith({ "bad" });
        for (int index = 0; index < 3; ++index)
            table.recordCrash(subjects, crashOf(servers++), false, now);
    }
    CHECK_TRUE(isRefused("bad"));
}

TEST(PoisonedParts, partsTravelInNoticesAndAreRefusedOnOtherHosts)
{
    for (int index = 0; index < 3; ++index)
        crash({ "bad" });
    PoisonTable other;
    other.apply(*table.noticeOf(part("bad").fingerprint, now), now);
    CHECK_TRUE(other.isRefused(part("bad").fingerprint, now));
    const std::vector<PoisonChange> changes = other.drainChanges();
    LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes.front() == (PoisonChange { part("bad"), PoisonState::Refused, 3 }));
    LONGS_EQUAL(1, other.count(PoisonState::Refused, true, now));
    LONGS_EQUAL(0, other.count(PoisonState::Refused, false, now));
}

// Guards against hosts or operators that know no parts and write only the identity of one.
TEST(PoisonedParts, aNoticeWithoutTheIdOfAPartKeepsIt)
{
    for (int index = 0; index < 3; ++index)
        crash({ "bad" });
    table.apply(PoisonNotice { .fingerprint = part("bad").fingerprint,
                    .remaining = Milliseconds(1000),
                    .cleared = { crashOf(99) } },
        now);
    LONGS_EQUAL(1, table.count(PoisonState::Refused, true, now));
}

TEST(PoisonedParts, aRefusalStatesWhenItsProbationBegins)
{
    for (int index = 0; index < 3; ++index)
        crash({ "bad" });
    const auto subjects = requestWith({ "bad" });
    CHECK_TRUE(table.retryAfter(subjects, now) == PoisonTableOptions {}.probationDelay);
    now += PoisonTableOptions {}.probationDelay;
    table.startProbation({ part("bad") }, now);
    crash({ "bad" });
    CHECK_TRUE(table.retryAfter(subjects, now) > Milliseconds(500'000));
}

// Guards against parts that always come together and stay refused because neither can finish alone.
TEST(PoisonedParts, partsThatAreRefusedTogetherHaveOneProbationTogether)
{
    const PoisonTableOptions options;
    const std::vector<PoisonSubject> both { part("one"), part("two") };
    for (int index = 0; index < 3; ++index)
        crash({ "one", "two" });
    CHECK_FALSE(table.canStartProbation(both, now + options.jointProbationDelay - Milliseconds(1)));
    now += options.jointProbationDelay;
    CHECK_TRUE(table.canStartProbation(both, now));
    table.startProbation(both, now);
    CHECK_FALSE(table.canStartProbation(both, now + 2 * options.jointProbationDelay));
    // Each of them can still prove itself alone.
    crash({ "one", "two" });
    CHECK_TRUE(table.canStartProbation({ part("one") }, now));
}

// Guards against refusing a sound part for a moment, because the report of a crash by the host of the bad part comes
// last.
TEST(PoisonedParts, reportsThatAreStillOnTheirWayDoNotShiftTheBlame)
{
    finish({ "sound" });
    crash({ "bad", "sound" });
    crash({ "bad", "sound" });
    crash({ "sound" });
    CHECK_FALSE(isRefused("sound"));
    table.recordCrash(requestWith({ "bad" }), crashOf(servers - 1), false, now);
    CHECK_TRUE(isRefused("bad"));
    CHECK_FALSE(isRefused("sound"));
}

TEST(PoisonedParts, hostsBlameThePartThatIsOnEachCrash)
{
    checkProperty("among popular parts that finish now and then, the one on each crash is refused", [] {
        TimePoint now { std::chrono::hours(1) };
        PoisonTable table;
        const int popular = *rc::gen::inRange(1, 6);
        for (int server = 0; server < 12; ++server) {
            std::vector<std::string> parts { "bad" };
            for (int index = 0; index < popular; ++index) {
                const std::string id = "p" + std::to_string(index);
                if (*rc::gen::inRange(0, 2) == 0)
                    parts.push_back(id);
                if (*rc::gen::inRange(0, 3) == 0)
                    table.recordFinish(requestWith({ id }), ServerCrash::requestStage, now);
            }
            now += Milliseconds(50);
            table.recordCrash(requestWith(parts), crashOf(server), false, now);
        }
        for (int index = 0; index < popular; ++index)
            table.recordFinish(
                requestWith({ "p" + std::to_string(index) }), ServerCrash::requestStage, now);
        RC_ASSERT(table.isRefused(part("bad").fingerprint, now));
        for (int index = 0; index < popular; ++index)
            RC_ASSERT(!table.isRefused(part("p" + std::to_string(index)).fingerprint, now));
    });
}
