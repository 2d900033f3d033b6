#pragma once

#include "gateway/requestservice.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// A gateway on a single host with scripted backend servers and a caller, connected over sockets.
class GatewayFixture {
public:
    using Handler = Apricot::HttpHandler;

    GatewayFixture();

    // Starts a backend server of a pool and returns its port.
    std::uint16_t addServer(const char* id, const char* pool, Handler handler);
    // Sends a caller's request and returns the complete response.
    Apricot::HttpResponse call(const std::string& path, std::vector<Apricot::HttpField> fields = {});
    // Runs the io_context for a time, for work that continues after a call.
    void runFor(Apricot::Milliseconds time);
    // Responds as a backend server does: signed, and with the ID of the request.
    static boost::asio::awaitable<void> respondSigned(
        Apricot::HttpExchange& exchange, int status, std::string body);
    // States that the request did not run and never will.
    static boost::asio::awaitable<void> respondNotRun(Apricot::HttpExchange& exchange, int status);
    static boost::asio::awaitable<void> beginSignedStream(Apricot::HttpExchange& exchange);

    // What a host with 128 MB may hold for clients.
    Apricot::MemoryAccount memory { { .totalBytes = 32 << 20 } };
    boost::asio::io_context context;
    Apricot::ServingView view;
    Apricot::ServerTracker tracker;
    Apricot::RetryWindow retries;
    Apricot::ColdLimiter coldLimiter;
    Apricot::PoisonTable poison;
    Apricot::MetricRegistry registry;
    Apricot::PeerClient peers { context };
    Apricot::LimitPermits limits { context, view, peers, Apricot::HostId("h1"), registry };
    Apricot::ServerStatements statements { view, limits };
    Apricot::BackendLinks links { context, view };
    Apricot::RelayClient relays { context, view, peers, Apricot::HostId("h1"), registry };
    Apricot::ServerCalls calls { context, links, relays };
    Apricot::ServerEndProbe serverEnds { context, view, links, peers, Apricot::HostId("h1") };
    Apricot::RolloutObserver rollouts { view, registry };
    Apricot::BackendCaller backendCaller { view, tracker, limits, statements, coldLimiter, calls, serverEnds, rollouts, memory };
    Apricot::StageHome home { context, view, backendCaller, poison };
    Apricot::StageRouter router { context, Apricot::HostId("h1"), view, home, peers };
    Apricot::StageRunner stages { context, router };
    Apricot::StreamOriginSync origins { context, view, peers, Apricot::HostId("h1"), registry };
    Apricot::PlainForwarder plainForwarder { view, backendCaller, retries, poison };
    Apricot::StreamForwarder streamForwarder {
        view, backendCaller, retries, stages, origins, poison
    };
    Apricot::GatewayMetrics metrics { registry };
    Apricot::RequestService requests {
        context, view, plainForwarder, streamForwarder, poison, metrics
    };

private:
    Apricot::HttpServer m_callerServer;
    std::vector<std::unique_ptr<Apricot::HttpServer>> m_servers;
};
