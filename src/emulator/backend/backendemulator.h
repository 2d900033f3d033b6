#pragma once

#include "engine.h"
#include "libnet/httpserver.h"
#include "orderhandler.h"
#include "responsetokens.h"
#include "runlog.h"

#include <boost/json/object.hpp>

#include <string>

namespace Apricot {

// What the emulator does when a fault or an overload crashes it.
enum class CrashMode {
    // Ends the process at once.
    Exit,
    // Closes every connection and goes on as a new incarnation.
    Reset,
};

struct BackendEmulatorOptions {
    std::string id;
    std::string kind = "generate";
    EngineOptions engine;
    bool checksFencing = true;
    CrashMode crashMode = CrashMode::Exit;
    std::string logFile;
};

// A backend server for tests: the API of docs/DESIGN.md in front of an Engine, with faults on
// request and a record of every run. Runs on one thread.
class BackendEmulator {
public:
    explicit BackendEmulator(BackendEmulatorOptions options);

    // Answers one request of the API.
    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    // A run that was admitted, as its coroutine needs it.
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
    // Lets time pass for a run in slices, and for as long as the engine stalls. Returns false when
    // the run was cancelled or lost.
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
