#include "dispatch/limitservice.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

constexpr OwnerLimits limits { .requestsPerSecond = 100 };

class FixedViewSource : public ControlViewSource {
public:
    std::shared_ptr<const ControlView> view() const override { return m_view; }

    std::shared_ptr<ControlView> m_view = std::make_shared<ControlView>();
};

// One host with a limit service that listens for its peers.
struct LimitHost {
    LimitHost(boost::asio::io_context& context, const std::string& name)
        : m_service(context, m_viewSource,
            { .shares = { .lifetime = Milliseconds(200),
                  .evidence = Milliseconds(10),
                  .maxRequestDuration = Milliseconds(10) },
                .refreshInterval = Milliseconds(20) })
        , m_server(context, {}, [this](std::shared_ptr<PeerStream> stream) {
            return serve(std::move(stream));
        })
    {
        m_viewSource.m_view->self = HostId(name);
        m_viewSource.m_view->incarnation = name + "/1";
        m_viewSource.m_view->permittedUntil = RuntimeClock::now() + std::chrono::minutes(1);
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream)
    {
        auto message = co_await stream->read();
        co_await m_service.serve(stream, std::get<ShareRequestMessage>(*message));
    }

    Member member() const
    {
        return { .host = m_viewSource.m_view->self,
            .incarnation = m_viewSource.m_view->incarnation,
            .address = "127.0.0.1",
            .port = m_server.port() };
    }

    FixedViewSource m_viewSource;
    LimitService m_service;
    PeerServer m_server;
};

}

TEST_GROUP(LimitService) {};

TEST(LimitService, grantsShareToAnotherHost)
{
    boost::asio::io_context context;
    LimitHost first(context, "host-0");
    LimitHost second(context, "host-1");
    const CellState cell { .members = { first.member(), second.member() } };
    for (LimitHost* host : { &first, &second }) {
        host->m_viewSource.m_view->cell = std::make_shared<CellState>(cell);
        host->m_service.start();
    }
    const OwnerId owner("meals");
    LimitHost& other = ownerHome(owner, cell) == HostId("host-0") ? second : first;
    int admitted = 0;
    for (int round = 0; round < 30; ++round) {
        for (int request = 0; request < 5; ++request)
            admitted += other.m_service.admit(owner, limits, 1, RuntimeClock::now()) ? 0 : 1;
        context.run_for(Milliseconds(20));
    }
    // The reserve alone would admit two requests in this time.
    CHECK_TRUE(admitted > 15);
    CHECK_TRUE(admitted <= 100);
}
