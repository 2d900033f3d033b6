#pragma once

#include "gatewaycluster.h"

#include <memory>
#include <set>

// A backend server of a cluster that serves requests or calls of stages.
struct GatewayCluster::BackendServer {
    std::string pool;
    std::string id;
    std::uint16_t port = 0;
    std::int64_t startedAt = 0;
    // Number of the report that its entry holds.
    int sequence = 1;
    bool isUp = false;
    // Requests that run or wait, and when others were turned away within the last second.
    std::shared_ptr<std::size_t> admitted = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> running = std::make_shared<std::size_t>(0);
    std::vector<Apricot::TimePoint> turnedAwayAt;
    // Shared with the handlers, which may be destroyed after the server.
    std::shared_ptr<std::set<Apricot::HttpExchange*>> exchanges = std::make_shared<std::set<Apricot::HttpExchange*>>();
    // Listeners of earlier starts are kept until their connections have ended.
    std::vector<std::unique_ptr<Apricot::HttpServer>> listeners;
};
