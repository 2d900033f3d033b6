#pragma once

#include "gateway/requestservice.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// A gateway of one host with scripted backend servers and a caller, over sockets.
class GatewayFixture {
public:
    using Handler = Apricot::HttpHandler;

    GatewayFixture();

    // Starts a backend server of a pool; returns its port.
    std::uint16_t addServer(const char* id, const char* pool, Handler handler);
    // A call of a caller; its answer, read to the end.
    Apricot::HttpResponse call(const std::string& path, std::vector<Apricot::HttpField> fields = {});
    // Serves what goes on after a call.
    void runFor(Apricot::Milliseconds time);
    // Answers as a backend server does: signed, and with the request's identity.
    static boost::asio::awaitable<void> respondSigned(
        Apricot::HttpExchange& exchange, int status, std::string body);
    // Says that the request was not run and never will be.
    static boost::asio::awaitable<void> respondNotRun(Apricot::HttpExchange& exchange, int status);
    static boost::asio::awaitable<void> beginSignedStream(Apricot::HttpExchange& exchange);

    boost::asio::io_context context;
    Apricot::ServingView view;
    Apricot::ServerTracker tracker;
    Apricot::RetryWindow retries;
    Apricot::ColdLimiter coldLimiter;
    Apricot::MetricRegistry registry;
    Apricot::BackendCaller backendCaller { context, view, tracker };
    Apricot::PeerClient peers { context };
    Apricot::StageHome home { context, view, backendCaller };
    Apricot::StageRouter router { context, Apricot::HostId("h1"), view, home, peers };
    Apricot::StageRunner stages { context, router };
    Apricot::PlainForwarder plainForwarder { view, backendCaller, retries };
    Apricot::StreamForwarder streamForwarder { view, backendCaller, retries, coldLimiter, stages };
    Apricot::GatewayMetrics metrics { registry };
    Apricot::RequestService requests { context, view, plainForwarder, streamForwarder, metrics };

private:
    Apricot::HttpServer m_callerServer;
    std::vector<std::unique_ptr<Apricot::HttpServer>> m_servers;
};
