#include "homemodel.h"
#include "property.h"

using namespace Apricot;

namespace {

constexpr int finishesToWarm = 4;
constexpr Duration longestLateStart = Milliseconds(7000);

// Steps of a history for each unit of the test case's size.
constexpr double historyScale = 4;
constexpr int historiesPerCase = 25;

rc::Gen<ModelStep> anyStep()
{
    return rc::gen::build<ModelStep>(
        rc::gen::set(&ModelStep::kind,
            rc::gen::weightedElement<int>({ { 8, 0 }, { 1, 2 }, { 3, 3 }, { 1, 4 }, { 1, 5 },
                { 2, 6 }, { 1, 7 }, { 3, 8 }, { 4, 9 }, { 1, 10 }, { 1, 11 }, { 1, 12 }, { 1, 13 },
                { 1, 14 }, { 4, 15 } })),
        rc::gen::set(&ModelStep::process, rc::gen::inRange(0, 4)),
        rc::gen::set(&ModelStep::amount, rc::gen::inRange(0, 4000)));
}

// Runs a random history of homes, pauses, kills, take-overs and crashes of the server.
template <typename Check>
void checkHistory(Check check)
{
    const int coldCap = *rc::gen::inRange(1, 4);
    const auto steps = *rc::gen::scale(
        historyScale, rc::gen::container<std::vector<ModelStep>>(anyStep()));
    HomeModel model(coldCap, finishesToWarm);
    for (const ModelStep& step : steps) {
        model.apply(step);
        check(model);
    }
}

template <typename Check>
void checkHistories(const char* description, Check check)
{
    checkProperty(description, [&check] {
        for (int history = 0; history < historiesPerCase; ++history)
            checkHistory(check);
    });
}

}

TEST_GROUP(ReplicaLedger) {};

TEST(ReplicaLedger, aColdServerNeverHasMoreInFlightThanItsCap)
{
    checkHistories("a cold server's cap holds over all homes",
        [](const HomeModel& model) { RC_ASSERT(model.coldViolations() == 0); });
}

TEST(ReplicaLedger, aServerThatIsTakenOutGetsNoWorkAfterSevenSeconds)
{
    checkHistories("no late start after a take-out", [](const HomeModel& model) {
        RC_ASSERT(model.longestLateStart() <= longestLateStart);
    });
}

TEST(ReplicaLedger, theCapGrowsOnlyByFinishedWork)
{
    checkHistories("the cap never exceeds finished work",
        [](const HomeModel& model) { RC_ASSERT(model.capOverFinishedWork() == 0); });
}
