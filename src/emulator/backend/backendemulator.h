#pragma once

#include "engine.h"
#include "libnet/httpserver.h"
#include "orderhandler.h"
#include "responsetokens.h"
#include "runlog.h"

#include <boost/json/object.hpp>

#include <string>

namespace Apricot {

// Reaction of the emulator to a crash that an injected fault or an overload causes.
enum class CrashMode {
    // Exits the process immediately.
    Exit,
    // Closes the connections of all runs and continues as a new incarnation.
    Reset,
};

struct BackendEmulatorOptions {
    std::string id;
    std::string kind = "generate";
    EngineOptions engine;
    bool checksOrders = true;
    CrashMode crashMode = CrashMode::Exit;
    std::string logFile;
};

// Backend server for tests. Serves the API of docs/DESIGN.md on top of an Engine, injects faults on
// request and logs every run. Runs on one thread.
class BackendEmulator {
public:
    explicit BackendEmulator(BackendEmulatorOptions options);

    // Handles one request of the API.
    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    // State of a run in the coroutine that handles it.
    struct ActiveRun {
        std::uint64_t number = 0;
        std::string incarnation;
        ResponseParameters parameters;
        std::uint64_t resumeFrom = 0;
        Duration busy {};
    };

    ActiveRun parseRun(const HttpRequest& request) const;
    boost::asio::awaitable<void> handleRun(HttpExchange& exchange);
    boost::asio::awaitable<void> handleOrder(HttpExchange& exchange);
    boost::asio::awaitable<void> handleFaults(HttpExchange& exchange);
    boost::asio::awaitable<void> respondJson(
        HttpExchange& exchange, int status, const boost::json::value& body);
    boost::asio::awaitable<void> streamResponse(HttpExchange& exchange, ActiveRun& run);
    // Waits for the duration of simulated work, and for as long as the emulator is stalled. Returns
    // false if the caller disconnected or the engine restarted in the meantime.
    boost::asio::awaitable<bool> simulateWork(
        HttpExchange& exchange, ActiveRun& run, Duration time);

    void applyFaults(const boost::json::object& faults);
    void crash(const char* cause);
    bool isInterrupted(const HttpExchange& exchange, const ActiveRun& run) const;
    boost::json::value countsJson() const;
    boost::json::value healthJson();

    BackendEmulatorOptions m_options;
    Engine m_engine;
    OrderHandler m_orderHandler;
    RunLog m_runLog;
    std::uint64_t m_restarts = 0;
    bool m_stalled = false;
    bool m_rejectsRuns = false;
    std::string m_poisonText;
};

}
