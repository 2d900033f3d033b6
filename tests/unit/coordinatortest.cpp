#include "dispatch/coordinator.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

// In-memory stream: a test adds incoming messages and reads what the coordinator wrote.
class MemoryStream : public PeerStream {
public:
    MemoryStream(Asio::io_context& context)
        : m_changed(context.get_executor())
    {
    }

    Asio::awaitable<std::optional<Message>> read() override
    {
        while (m_incoming.empty()) {
            if (m_disconnected)
                throw PeerError(PeerFailure::Unreachable, "stream disconnected");
            if (m_finished)
                co_return std::nullopt;
            co_await m_changed.wait();
        }
        Message message = std::move(m_incoming.front());
        m_incoming.pop_front();
        co_return message;
    }
    Asio::awaitable<void> write(Message message) override
    {
        if (m_disconnected)
            throw PeerError(PeerFailure::Unreachable, "stream disconnected");
        written.push_back(std::move(message));
        co_return;
    }
    void finish() override { isFinished = true; }
    void cancel() override { disconnect(); }

    void addIncoming(Message message)
    {
        m_incoming.push_back(std::move(message));
        m_changed.notifyAll();
    }
    void disconnect()
    {
        m_disconnected = true;
        m_changed.notifyAll();
    }

    bool isDisconnected() const { return m_disconnected; }

    std::vector<Message> written;
    bool isFinished = false;

private:
    AsyncEvent m_changed;
    std::deque<Message> m_incoming;
    bool m_disconnected = false;
    bool m_finished = false;
};

// Home that responds to each attempt with two tokens. The first failuresLeft attempts are
// disconnected after one token; while isUnresponsive is set, no attempt gets a response.
class FakePeers : public PeerLink {
public:
    explicit FakePeers(Asio::io_context& context)
        : m_context(context)
    {
    }

    Asio::awaitable<std::shared_ptr<PeerStream>> open(
        PeerEndpoint /*endpoint*/, Message first, Milliseconds /*timeout*/) override
    {
        auto stream = std::make_shared<MemoryStream>(m_context);
        const StageCall call = std::get<StageCallMessage>(first).call;
        calls.push_back(call);
        streams.push_back(stream);
        if (isUnresponsive)
            co_return stream;
        const bool disconnects = failuresLeft-- > 0;
        for (std::uint64_t index = call.resumeFrom; index < (disconnects ? 1U : 2U); ++index)
            stream->addIncoming(TokenMessage { .index = index, .text = std::to_string(index) });
        if (disconnects)
            stream->disconnect();
        else
            stream->addIncoming(StageEndedMessage {
                .outcome = { .attempt = call.attempt, .sent = true, .tokens = 2 } });
        co_return stream;
    }
    Asio::awaitable<Message> call(
        PeerEndpoint /*endpoint*/, Message /*request*/, Milliseconds /*timeout*/) override
    {
        throw PeerError(PeerFailure::Refused, "connection refused");
        co_return Message {};
    }

    std::vector<StageCall> calls;
    std::vector<std::shared_ptr<MemoryStream>> streams;
    int failuresLeft = 0;
    bool isUnresponsive = false;

private:
    Asio::io_context& m_context;
};

class FakeViewSource : public ControlViewSource {
public:
    FakeViewSource()
    {
        Catalogue catalogue;
        const BackendServerId server("server-1");
        catalogue.servers[server] = { .id = server, .pool = PoolId("pool") };
        CatalogueEntry entry { .name = PipelineId("sheets") };
        entry.stages = { { .name = "encode", .kind = StageKind::Encode, .pool = PoolId("pool") },
            { .name = "generate", .pool = PoolId("pool") } };
        catalogue.entries[entry.name] = entry;
        CellState cell;
        cell.members = { { .host = HostId("host-1"), .incarnation = "1" } };
        cell.homes[server] = { .home = HostId("host-1") };
        current.self = HostId("host-1");
        current.incarnation = "1";
        current.catalogue = std::make_shared<const Catalogue>(catalogue);
        current.cell = std::make_shared<const CellState>(cell);
        current.epoch = 1;
        current.permittedUntil = TimePoint::max();
    }
    std::shared_ptr<const ControlView> view() const override
    {
        return std::make_shared<const ControlView>(current);
    }

    ControlView current;
};

class FirstServerRouter : public AttemptRouter {
public:
    std::optional<BackendServerId> choose(const ControlView& view, const StageSpec& /*stage*/,
        const RequestKey& /*key*/, const std::vector<BackendServerId>& /*excluded*/,
        TimePoint /*now*/) override
    {
        return view.catalogue->servers.begin()->first;
    }
    void recordOutcome(const StageOutcome& /*outcome*/, const BackendServerId& /*server*/,
        TimePoint /*now*/) override
    {
    }
};

class FakeClaimGateway : public ClaimGateway {
public:
    Asio::awaitable<ClaimResponse> claim(ClaimAction /*action*/, Milliseconds /*budget*/) override
    {
        co_return ClaimResponse {};
    }
    bool isUnavailable() const override { return false; }
};

}

TEST_GROUP(Coordinator)
{
    Asio::io_context context;
    FakeViewSource viewSource;
    FakePeers peers { context };
    FirstServerRouter router;
    RecordTable records { { .host = HostId("host-1"), .incarnation = "1" } };
    RecordService recordService { viewSource, peers, records };
    FakeClaimGateway claims;
    RetryBudget retries;
    PoisonTable poison;
    UnresponsiveHomes unresponsiveHomes;
    Coordinator coordinator { { context, viewSource, peers, router, records, recordService, claims,
        retries, poison, unresponsiveHomes } };

    void setup() override { RuntimeClock::pause(); }
    void teardown() override { RuntimeClock::resume(); }

    std::shared_ptr<MemoryStream> submit(std::uint64_t resumeFrom = 0)
    {
        auto stream = std::make_shared<MemoryStream>(context);
        const SubmitMessage message { .key = RequestKey("key"),
            .pipeline = PipelineId("sheets"),
            .input = "soup",
            .resumeFrom = resumeFrom };
        Asio::co_spawn(context, coordinator.serve(stream, message), Asio::detached);
        advanceAndPoll(Milliseconds(0));
        return stream;
    }
    void advanceAndPoll(Milliseconds time)
    {
        RuntimeClock::advance(time);
        // Adding a timer that is due makes the context check its other timers against the new time.
        RuntimeTimer due(context, RuntimeClock::now());
        bool isDue = false;
        due.async_wait([&isDue](boost::system::error_code) { isDue = true; });
        while (!isDue) {
            context.restart();
            context.run_one();
        }
        context.restart();
        context.poll();
    }
    static std::size_t tokenCount(const MemoryStream& stream)
    {
        std::uint64_t count = 0;
        for (const Message& message : stream.written) {
            const auto* token = std::get_if<TokenMessage>(&message);
            count += token ? 1 : 0;
        }
        return count;
    }
};

TEST(Coordinator, runsStagesInOrderAndStreamsTheFinalOne)
{
    const auto stream = submit();
    LONGS_EQUAL(2, peers.calls.size());
    STRCMP_EQUAL("soup", peers.calls[0].input.c_str());
    STRCMP_EQUAL("01", peers.calls[1].input.c_str());
    LONGS_EQUAL(2, tokenCount(*stream));
    CHECK_TRUE(std::holds_alternative<CompletedMessage>(stream->written.back()));
    CHECK_TRUE(stream->isFinished);
    LONGS_EQUAL(0, coordinator.callersInFlight());
}

TEST(Coordinator, replaysAFinishedRequestFromTheResumePosition)
{
    submit();
    const auto replayed = submit(1);
    LONGS_EQUAL(2, peers.calls.size());
    LONGS_EQUAL(1, tokenCount(*replayed));
    CHECK_TRUE(std::holds_alternative<CompletedMessage>(replayed->written.back()));
}

TEST(Coordinator, resumesAnAttemptAfterADisconnect)
{
    peers.failuresLeft = 1;
    const auto stream = submit();
    advanceAndPoll(Milliseconds(100));
    LONGS_EQUAL(3, peers.calls.size());
    LONGS_EQUAL(2, tokenCount(*stream));
    CHECK_TRUE(std::holds_alternative<CompletedMessage>(stream->written.back()));
}

TEST(Coordinator, refusesAtTheDeadlineAndCancelsTheAttempt)
{
    peers.isUnresponsive = true;
    const auto stream = submit();
    advanceAndPoll(Milliseconds(4000));
    LONGS_EQUAL(0, stream->written.size());
    advanceAndPoll(Milliseconds(5000));
    LONGS_EQUAL(1, stream->written.size());
    const auto& refusal = std::get<RefusedMessage>(stream->written.back()).refusal;
    CHECK_TRUE(refusal.reason == RefusalReason::DeadlinePassed);
    CHECK_TRUE(refusal.ran == RanState::Unknown);
    CHECK_TRUE(peers.streams.back()->isDisconnected());
}

TEST(Coordinator, aCallerDisconnectCancelsTheRequest)
{
    peers.isUnresponsive = true;
    const auto stream = submit();
    LONGS_EQUAL(1, coordinator.callersInFlight());
    stream->disconnect();
    advanceAndPoll(Milliseconds(0));
    LONGS_EQUAL(0, coordinator.callersInFlight());
    CHECK_FALSE(records.find(RequestKey("key"))->isRunning());
}

TEST(Coordinator, refusesNewRequestsWithoutEvidenceOrWhileStopping)
{
    viewSource.current.permittedUntil = TimePoint {};
    const auto first = submit();
    CHECK_TRUE(std::get<RefusedMessage>(first->written.back()).refusal.reason
        == RefusalReason::NoEvidence);
    CHECK_TRUE(
        std::get<RefusedMessage>(first->written.back()).refusal.ran == RanState::NotRun);
    viewSource.current.permittedUntil = TimePoint::max();
    viewSource.current.stopping = true;
    const auto second = submit();
    CHECK_TRUE(std::get<RefusedMessage>(second->written.back()).refusal.reason
        == RefusalReason::Stopping);
    LONGS_EQUAL(0, peers.calls.size());
}

TEST(Coordinator, aRefusalAfterAStageWasSentDoesNotReportNotRun)
{
    peers.isUnresponsive = true;
    const auto first = submit();
    first->disconnect();
    advanceAndPoll(Milliseconds(0));
    viewSource.current.stopping = true;
    const auto second = submit();
    const auto& refusal = std::get<RefusedMessage>(second->written.back()).refusal;
    CHECK_TRUE(refusal.reason == RefusalReason::Stopping);
    CHECK_TRUE(refusal.ran == RanState::Unknown);
}

TEST(Coordinator, supersedesCopiesFromEarlierCoordinators)
{
    const TimePoint now = RuntimeClock::now();
    RecordCopy copy { .key = RequestKey("other"), .coordinator = "new", .epoch = 5, .revision = 1 };
    CHECK_FALSE(records.store(copy, true, now).superseded);
    copy.coordinator = "old";
    copy.epoch = 4;
    CHECK_TRUE(records.store(copy, true, now).superseded);
    copy.epoch = 6;
    CHECK_TRUE(records.store(copy, false, now).superseded);
    CHECK_FALSE(records.store(copy, true, now).superseded);
}
