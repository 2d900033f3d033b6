#include "homemodel.h"
#include "property.h"

using namespace Apricot;

namespace {

constexpr int requestsToWarm = 4;
constexpr Duration longestLateStart = Milliseconds(7000);

// Scales RapidCheck's size, which bounds the number of steps of a history.
constexpr double historyScale = 4;
constexpr int historiesPerCase = 25;

// Draws the kind by weight. Each pair is a weight and a kind that HomeModel::apply() defines.
rc::Gen<ModelStep> arbitraryStep()
{
    return rc::gen::build<ModelStep>(
        rc::gen::set(&ModelStep::kind,
            rc::gen::weightedElement<int>({ { 8, 0 }, { 1, 2 }, { 3, 3 }, { 1, 4 }, { 1, 5 },
                { 2, 6 }, { 1, 7 }, { 3, 8 }, { 4, 9 }, { 1, 10 }, { 1, 11 }, { 1, 12 }, { 1, 13 },
                { 1, 14 }, { 4, 15 } })),
        rc::gen::set(&ModelStep::process, rc::gen::inRange(0, 4)),
        rc::gen::set(&ModelStep::amount, rc::gen::inRange(0, 4000)));
}

// Runs a random history of home changes, freezes, kills, take-overs and server crashes.
template <typename Check>
void checkHistory(Check check)
{
    const int coldCap = *rc::gen::inRange(1, 4);
    const auto steps = *rc::gen::scale(
        historyScale, rc::gen::container<std::vector<ModelStep>>(arbitraryStep()));
    HomeModel model(coldCap, requestsToWarm);
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

// The ledger of a process that is the home of one server and has no predecessor.
struct LedgerFixture {
    explicit LedgerFixture(int coldCap, std::size_t queueLimit = 8)
        : ledger({ .capacity = { .coldCap = coldCap }, .queueLimit = queueLimit })
    {
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->servers[server] = { .id = server };
        auto cell = std::make_shared<CellState>();
        cell->homes[server] = { .home = HostId("a"), .incarnation = "a1", .since = 3 };
        view = { .self = HostId("a"),
            .incarnation = "a1",
            .catalogue = catalogue,
            .cell = cell,
            .permittedUntil = TimePoint::max() };
        ledger.onView(view, server, now);
        now += Milliseconds(1000);
        ledger.onReport({ .incarnation = "s1" }, now, now);
    }

    LedgerActions submit(CallNumber number, ServiceClass serviceClass = ServiceClass::Standard,
        Milliseconds budget = Milliseconds(5000), bool runsAlone = false)
    {
        return ledger.submit(number, { serviceClass, budget, runsAlone }, now);
    }

    bool confirmStart(CallNumber number) { return ledger.confirmStart(number, view, server, now); }

    BackendServerId server { "s" };
    ControlView view;
    TimePoint now {};
    ReplicaLedger ledger;
};

void checkStartsOnly(const LedgerActions& actions, CallNumber number)
{
    LONGS_EQUAL(1, actions.size());
    CHECK(actions.front() == LedgerAction(StartAction { number }));
}

}

TEST_GROUP(ReplicaLedger) {};

TEST(ReplicaLedger, callsStartByClassAndThenBySlack)
{
    LedgerFixture fixture(1);
    checkStartsOnly(fixture.submit(1), 1);
    CHECK(fixture.confirmStart(1));
    CHECK(fixture.submit(2, ServiceClass::Bulk).empty());
    CHECK(fixture.submit(3, ServiceClass::Standard, Milliseconds(4000)).empty());
    CHECK(fixture.submit(4, ServiceClass::Standard, Milliseconds(3000)).empty());
    CHECK(fixture.submit(5, ServiceClass::Urgent).empty());
    CallNumber running = 1;
    for (const CallNumber next : { 5, 4, 3, 2 }) {
        checkStartsOnly(fixture.ledger.onFinished(running, fixture.now), next);
        CHECK(fixture.confirmStart(next));
        running = next;
    }
}

TEST(ReplicaLedger, aFullQueueRejectsItsLastCallAtOnce)
{
    LedgerFixture fixture(1, 1);
    fixture.submit(1);
    fixture.submit(2, ServiceClass::Bulk);
    const LedgerActions actions = fixture.submit(3, ServiceClass::Urgent);
    LONGS_EQUAL(1, actions.size());
    const auto& rejection = std::get<RejectAction>(actions.front());
    LONGS_EQUAL(2, rejection.number);
    CHECK(rejection.retryAfter > Milliseconds(0));
}

TEST(ReplicaLedger, aSuspectCallRunsAlone)
{
    LedgerFixture fixture(3);
    checkStartsOnly(fixture.submit(1), 1);
    CHECK(fixture.confirmStart(1));
    CHECK(fixture.submit(2, ServiceClass::Urgent, Milliseconds(5000), true).empty());
    CHECK(fixture.submit(3).empty());
    checkStartsOnly(fixture.ledger.onFinished(1, fixture.now), 2);
    CHECK(fixture.confirmStart(2));
    checkStartsOnly(fixture.ledger.onFinished(2, fixture.now), 3);
}

TEST(ReplicaLedger, aRefusalByTheServerLowersTheCap)
{
    LedgerFixture fixture(3);
    for (const CallNumber number : { 1, 2, 3 }) {
        fixture.submit(number);
        CHECK(fixture.confirmStart(number));
    }
    fixture.ledger.onRefused(3, fixture.now);
    LONGS_EQUAL(2, fixture.ledger.cap());
}

TEST(ReplicaLedger, aReleasedHomeStartsNoCalls)
{
    LedgerFixture fixture(2);
    checkStartsOnly(fixture.submit(1), 1);
    LONGS_EQUAL(0, fixture.ledger.release(4));
    CHECK_FALSE(fixture.confirmStart(1));
    fixture.ledger.onView(fixture.view, fixture.server, fixture.now);
    CHECK(std::holds_alternative<RejectAction>(fixture.submit(2).front()));
}

TEST(ReplicaLedger, aColdServerNeverHasMoreInFlightThanItsCap)
{
    checkHistories("a cold server's cap holds across all homes",
        [](const HomeModel& model) { RC_ASSERT(model.coldViolations() == 0); });
}

TEST(ReplicaLedger, aServerOutOfServiceGetsNoWorkAfterSevenSeconds)
{
    checkHistories("no run starts later than 7 s after the server is taken out of service", [](const HomeModel& model) {
        RC_ASSERT(model.longestLateStart() <= longestLateStart);
    });
}

TEST(ReplicaLedger, theCapGrowsOnlyWithFinishedWork)
{
    checkHistories("the cap never exceeds the cold cap plus the finished runs",
        [](const HomeModel& model) { RC_ASSERT(model.capViolations() == 0); });
}
