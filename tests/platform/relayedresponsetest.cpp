#include "gateway/relayclient.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Apricot;
namespace Asio = boost::asio;

// Responses that a peer relays.
TEST_GROUP(RelayedResponse)
{
    Asio::io_context context;
    int status = 0;
    PeerServer peer { context, {}, [this](std::shared_ptr<PeerStream> stream) { return relay(std::move(stream)); } };
    ServingView view;
    PeerClient peers { context };
    MetricRegistry registry;
    RelayClient relays { context, view, peers, HostId("h1"), registry };

    void setup() override
    {
        view.putHost(HostId("h2"), { .endpoint = { "127.0.0.1", peer.port() } });
        relays.onHostsChanged();
    }

    Asio::awaitable<void> relay(std::shared_ptr<PeerStream> stream)
    {
        Message head = RelayHeadMessage { .status = status };
        co_await stream->write(std::move(head));
        Message data = RelayDataMessage { "body" };
        co_await stream->write(std::move(data));
        Message end = RelayEndMessage { RelayEnd::Complete };
        co_await stream->write(std::move(end));
    }

    // Returns the body of a response that the peer relays with this status, or nothing if it is not accepted.
    std::optional<std::string> receive(int relayedStatus)
    {
        status = relayedStatus;
        std::optional<std::string> body;
        Asio::co_spawn(
            context,
            [&]() -> Asio::awaitable<void> {
                CallTarget target { .timeLeft = Milliseconds(1000) };
                auto call = std::make_shared<HttpCall>();
                HttpSendGate gate;
                try {
                    const auto stream = co_await relays.open(std::move(target), std::move(call), std::move(gate));
                    ResponseBody received = co_await readBody(*stream);
                    body = std::move(received.bytes);
                } catch (const CallNotSentError&) {
                    FAIL("The call counts as not sent, although the peer has a response to it.");
                } catch (const boost::system::system_error&) {
                    // The response is broken.
                }
                context.stop();
            },
            Asio::detached);
        context.restart();
        context.run();
        return body;
    }
};

// Guards against a status of no defined class that a server sent to a peer of an earlier version, which relays it.
TEST(RelayedResponse, aStatusOfNoDefinedClassIsRejected)
{
    for (const int relayedStatus : { -1, 0, 1, 99, 100, 199, 600, 999, 65'736 })
        CHECK_FALSE(receive(relayedStatus).has_value());
    for (const int relayedStatus : { 200, 404, 599 })
        CHECK_EQUAL(std::string("body"), receive(relayedStatus).value_or(""));
}
