#include "backendemulator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <unistd.h>

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_string(port_file, "", "file that receives the port once the server listens");
DEFINE_string(id, "server", "identity of the backend server");
DEFINE_string(kind, "generate", "encode, retrieve, rerank, generate or call");
DEFINE_int32(cold_cap, 2, "most runs in flight that a cold start bears");
DEFINE_int32(cold_ms, 0, "busy time of finished runs, in ms, before the engine is warm");
DEFINE_int32(cold_requests, 16, "finished runs before the engine is warm");
DEFINE_string(
    cold_overload, "count", "reaction to exceeding --cold_cap: count, degrade, crash or refuse");
DEFINE_int32(warm_cap, 8, "most runs in flight; more are refused");
DEFINE_double(token_ms, 10, "time of one token with a batch of one");
DEFINE_double(prefill_ms_per_token, 0.2, "processing time of one uncached prompt token");
DEFINE_int32(prefix_cache_tokens, 4096, "capacity of the prefix cache in prompt tokens");
DEFINE_int32(load_lag_ms, 500, "how old the figures of /health may be");
DEFINE_bool(checks_orders, true, "whether orders with an old fencing number are refused");
DEFINE_string(crash_mode, "exit", "exit: end the process; reset: continue as a new incarnation");
DEFINE_string(log_file, "", "file that receives every run as a JSON line");

namespace {

using namespace Apricot;

Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

ColdOverload parseColdOverload(const std::string& name)
{
    if (name == "count")
        return ColdOverload::Count;
    if (name == "degrade")
        return ColdOverload::Degrade;
    if (name == "crash")
        return ColdOverload::Crash;
    if (name == "refuse")
        return ColdOverload::Refuse;
    throw std::invalid_argument(
        "invalid value of --cold_overload, expected count, degrade, crash or refuse: " + name);
}

CrashMode parseCrashMode(const std::string& name)
{
    if (name == "exit")
        return CrashMode::Exit;
    if (name == "reset")
        return CrashMode::Reset;
    throw std::invalid_argument("invalid value of --crash_mode, expected exit or reset: " + name);
}

std::string processIncarnation()
{
    return std::to_string(getpid()) + "-"
        + std::to_string(RuntimeClock::now().time_since_epoch().count());
}

BackendEmulatorOptions optionsFromFlags()
{
    return { .id = FLAGS_id,
        .kind = FLAGS_kind,
        .engine = { .incarnation = processIncarnation(),
            .coldCap = FLAGS_cold_cap,
            .coldRequests = static_cast<std::uint64_t>(FLAGS_cold_requests),
            .coldBusyTime = Milliseconds(FLAGS_cold_ms),
            .warmCap = FLAGS_warm_cap,
            .tokenTime = toDuration(FLAGS_token_ms),
            .prefillTimePerToken = toDuration(FLAGS_prefill_ms_per_token),
            .prefixCacheTokens = static_cast<std::size_t>(FLAGS_prefix_cache_tokens),
            .maxHealthAge = Milliseconds(FLAGS_load_lag_ms),
            .coldOverload = parseColdOverload(FLAGS_cold_overload) },
        .checksOrders = FLAGS_checks_orders,
        .crashMode = parseCrashMode(FLAGS_crash_mode),
        .logFile = FLAGS_log_file };
}

// Writes the port file atomically, so that a reader never sees partial content.
void writePortFile(const std::string& fileName, std::uint16_t port)
{
    if (fileName.empty())
        return;
    const std::string temporary = fileName + ".tmp";
    std::ofstream(temporary) << port << '\n';
    if (std::rename(temporary.c_str(), fileName.c_str()) != 0)
        throw std::runtime_error("can't write the port file " + fileName);
}

void run()
{
    boost::asio::io_context context(1);
    BackendEmulator emulator(optionsFromFlags());
    HttpServer server(context, { .port = static_cast<std::uint16_t>(FLAGS_port) },
        [&emulator](HttpExchange& exchange) { return emulator.handle(exchange); });
    writePortFile(FLAGS_port_file, server.port());
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "apricot-backend-emulator: " << error.what() << '\n';
        return 1;
    }
}
