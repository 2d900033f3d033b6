#include "dispatch/homeservice.h"
#include "emulator/backend/backendemulator.h"
#include "libnet/httpserver.h"

#include "property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

constexpr Milliseconds callBudget { 5000 };

class FixedViewSource : public ControlViewSource {
public:
    std::shared_ptr<const ControlView> view() const override
    {
        return std::make_shared<const ControlView>(m_view);
    }

    ControlView m_view;
};

Asio::awaitable<void> sleepFor(Milliseconds time)
{
    Asio::basic_waitable_timer<RuntimeClock> timer(co_await Asio::this_coro::executor, time);
    co_await timer.async_wait(Asio::use_awaitable);
}

// What a coordinator received for one attempt.
struct ObservedAttempt {
    bool isSentReported = false;
    std::string text;
    StageOutcome outcome;
};

BackendEmulatorOptions emulatorOptions(int coldCap)
{
    return { .id = "s1",
        .engine = { .incarnation = "e1",
            .coldCap = coldCap,
            .coldRequests = 16,
            .tokenTime = Milliseconds(2),
            .maxHealthAge = Milliseconds(50) },
        .crashMode = CrashMode::Reset };
}

// One home and one backend server in one process, connected over loopback.
struct HomeFixture {
    explicit HomeFixture(int coldCap = 2)
        : emulator(emulatorOptions(coldCap))
        , backend(context, {}, [this](HttpExchange& exchange) { return emulator.handle(exchange); })
        , service(context, views,
              { .takeover = { .drainTime = Milliseconds(20) }, .healthInterval = Milliseconds(20) })
        , peers(context, {}, [this](auto stream) { return servePeer(std::move(stream)); })
        , client(context)
        , backendClient(context, { .port = backend.port() })
    {
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->servers[id] = { .id = id,
            .address = "127.0.0.1",
            .port = backend.port(),
            .coldCap = coldCap,
            .warmCap = 8 };
        auto cell = std::make_shared<CellState>();
        cell->homes[id] = { .home = HostId("a"), .incarnation = "a1", .since = 5 };
        views.m_view = { .self = HostId("a"),
            .incarnation = "a1",
            .catalogue = catalogue,
            .cell = cell,
            .epoch = 5,
            .permittedUntil = TimePoint::max(),
            .acknowledgedEpoch = 5 };
        service.start();
    }

    Asio::awaitable<void> servePeer(std::shared_ptr<PeerStream> stream)
    {
        std::optional<Message> first = co_await stream->read();
        if (auto* call = std::get_if<StageCallMessage>(&*first))
            co_await service.serve(std::move(stream), std::move(*call));
        else
            co_await service.serveRelease(
                std::move(stream), std::get<ReleaseHomeMessage>(*first));
    }

    Asio::awaitable<std::shared_ptr<PeerStream>> openCall(
        std::uint32_t attempt, Milliseconds budget = callBudget)
    {
        StageCall call { .attempt = { .key = RequestKey("k"), .attempt = attempt },
            .server = id,
            .input = "tray for room " + std::to_string(attempt),
            .maxTokens = 12,
            .budget = budget };
        Message message = StageCallMessage { std::move(call) };
        PeerEndpoint endpoint { "127.0.0.1", peers.port() };
        co_return co_await client.open(endpoint, std::move(message), callBudget);
    }

    static Asio::awaitable<ObservedAttempt> readToEnd(std::shared_ptr<PeerStream> stream)
    {
        ObservedAttempt observed;
        while (std::optional<Message> message = co_await stream->read()) {
            if (std::holds_alternative<StageSentMessage>(*message))
                observed.isSentReported = true;
            if (const auto* token = std::get_if<TokenMessage>(&*message))
                observed.text += token->text;
            if (const auto* ended = std::get_if<StageEndedMessage>(&*message))
                observed.outcome = ended->outcome;
        }
        co_return observed;
    }

    Asio::awaitable<void> runCalls(int calls)
    {
        for (int index = 0; index < calls; ++index)
            Asio::co_spawn(context, runCall(static_cast<std::uint32_t>(index)), Asio::detached);
        while (static_cast<int>(observedAttempts.size()) < calls)
            co_await sleepFor(Milliseconds(5));
    }

    Asio::awaitable<void> runCall(std::uint32_t attempt)
    {
        const std::shared_ptr<PeerStream> stream = co_await openCall(attempt);
        ObservedAttempt observed = co_await readToEnd(stream);
        observedAttempts.push_back(std::move(observed));
    }

    Asio::awaitable<void> injectFault(std::string json)
    {
        HttpCall call { .method = "POST", .target = "/faults", .body = std::move(json) };
        co_await backendClient.send(std::move(call));
    }

    Asio::awaitable<long> readCount(std::string name)
    {
        HttpCall call { .target = "/counts" };
        const HttpResponse response = co_await backendClient.send(std::move(call));
        co_return boost::json::parse(response.body).as_object().at(name).to_number<long>();
    }

    void run(std::function<Asio::awaitable<void>()> body)
    {
        std::exception_ptr failure;
        Asio::co_spawn(context, std::move(body), [&](std::exception_ptr error) {
            failure = error;
            context.stop();
        });
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    BackendServerId id { "s1" };
    Asio::io_context context;
    BackendEmulator emulator;
    HttpServer backend;
    FixedViewSource views;
    HomeService service;
    PeerServer peers;
    PeerClient client;
    HttpClient backendClient;
    std::vector<ObservedAttempt> observedAttempts;
};

std::string expectedText(std::uint32_t attempt)
{
    const ResponseParameters parameters { .stage = "generate",
        .input = "tray for room " + std::to_string(attempt),
        .maxTokens = 12 };
    std::string text;
    for (std::uint64_t index = 0; index < responseTokenCount(parameters); ++index)
        text += responseToken(parameters, index);
    return text;
}

}

TEST_GROUP(HomeService) {};

TEST(HomeService, outputsAreCompleteAndAColdServerIsNotOverloaded)
{
    HomeFixture fixture;
    long violations = -1;
    long peak = -1;
    fixture.run([&]() -> Asio::awaitable<void> {
        co_await fixture.runCalls(40);
        violations = co_await fixture.readCount("cold_violations");
        peak = co_await fixture.readCount("peak_in_flight");
    });
    for (const ObservedAttempt& observed : fixture.observedAttempts) {
        CHECK(observed.outcome.end == StageEndReason::Finished);
        CHECK(observed.isSentReported && observed.outcome.sent);
        STRCMP_EQUAL(expectedText(observed.outcome.attempt.attempt).c_str(), observed.text.c_str());
    }
    LONGS_EQUAL(0, violations);
    // Finished calls raised the cap above its cold value of 2.
    CHECK(peak > 2);
}

TEST(HomeService, aBrokenCoordinatorStreamCancelsTheRun)
{
    HomeFixture fixture;
    long cancelled = 0;
    fixture.run([&]() -> Asio::awaitable<void> {
        co_await fixture.injectFault(R"({"straggle_factor":50})");
        const std::shared_ptr<PeerStream> stream = co_await fixture.openCall(1);
        co_await sleepFor(Milliseconds(100));
        stream->cancel();
        co_await sleepFor(Milliseconds(300));
        cancelled = co_await fixture.readCount("cancelled");
    });
    LONGS_EQUAL(1, cancelled);
}

TEST(HomeService, anExpiredBudgetEndsTheRunAsTimedOut)
{
    HomeFixture fixture;
    ObservedAttempt observed;
    fixture.run([&]() -> Asio::awaitable<void> {
        co_await fixture.injectFault(R"({"stall":true})");
        const std::shared_ptr<PeerStream> stream = co_await fixture.openCall(1, Milliseconds(200));
        observed = co_await HomeFixture::readToEnd(stream);
    });
    CHECK(observed.outcome.end == StageEndReason::TimedOut);
    CHECK(observed.outcome.sent);
}

TEST(HomeService, aBackendCrashIsReportedAsACrash)
{
    HomeFixture fixture;
    ObservedAttempt observed;
    fixture.run([&]() -> Asio::awaitable<void> {
        co_await sleepFor(Milliseconds(100));
        co_await fixture.injectFault(R"({"poison":"room 7"})");
        const std::shared_ptr<PeerStream> stream = co_await fixture.openCall(7);
        observed = co_await HomeFixture::readToEnd(stream);
    });
    CHECK(observed.outcome.end == StageEndReason::Crashed);
    CHECK(observed.outcome.sent);
}

TEST(HomeService, withoutPermissionNothingIsSent)
{
    HomeFixture fixture;
    fixture.views.m_view.permittedUntil = TimePoint {};
    ObservedAttempt observed;
    long runs = -1;
    fixture.run([&]() -> Asio::awaitable<void> {
        const std::shared_ptr<PeerStream> stream = co_await fixture.openCall(1);
        observed = co_await HomeFixture::readToEnd(stream);
        runs = co_await fixture.readCount("runs");
    });
    CHECK(observed.outcome.end == StageEndReason::Rejected);
    CHECK_FALSE(observed.outcome.sent);
    CHECK(observed.outcome.retryAfter > Milliseconds(0));
    LONGS_EQUAL(0, runs);
}

TEST(HomeService, aReleasedHomeReportsItsCallsInFlightAndStartsNoMore)
{
    HomeFixture fixture;
    ObservedAttempt running;
    ObservedAttempt late;
    HomeReleasedMessage released;
    fixture.run([&]() -> Asio::awaitable<void> {
        co_await fixture.injectFault(R"({"straggle_factor":20})");
        const std::shared_ptr<PeerStream> first = co_await fixture.openCall(1);
        co_await sleepFor(Milliseconds(100));
        Message request = ReleaseHomeMessage { .server = fixture.id, .since = 6 };
        PeerEndpoint endpoint { "127.0.0.1", fixture.peers.port() };
        const Message response
            = co_await fixture.client.call(endpoint, std::move(request), callBudget);
        released = std::get<HomeReleasedMessage>(response);
        const std::shared_ptr<PeerStream> second = co_await fixture.openCall(2);
        late = co_await HomeFixture::readToEnd(second);
        running = co_await HomeFixture::readToEnd(first);
        co_await fixture.service.drain();
    });
    LONGS_EQUAL(1, released.inFlight);
    CHECK(running.outcome.end == StageEndReason::Finished);
    CHECK(late.outcome.end == StageEndReason::Rejected);
}
