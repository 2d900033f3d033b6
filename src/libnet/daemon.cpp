#include "libnet/daemon.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/json/object.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <thread>

DEFINE_string(config, "", "INI file with the settings");
DEFINE_bool(check, false, "check the settings file and exit: 0 when it is valid, 2 when not");
DEFINE_bool(help_settings, false, "print every setting with its unit, default and range");

namespace Apricot {

namespace Asio = boost::asio;

DaemonCommand parseDaemonCommand(int argc, char** argv, const std::string& usage)
{
    gflags::SetVersionString(APRICOT_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return { FLAGS_config, FLAGS_check, FLAGS_help_settings };
}

std::string settingsFile()
{
    return FLAGS_config;
}

void printProblems(const SettingsError& error)
{
    for (const SettingsProblem& problem : error.problems())
        std::cerr << describe(problem) << '\n';
}

void startDaemonLog(const std::string& program, const ProcessSettings& settings)
{
    startLog({ .program = program,
        .host = settings.host,
        .level = settings.logLevel,
        .file = settings.logFile });
}

Daemon::Daemon()
    : m_signals(m_control, SIGTERM, SIGINT)
{
}

void Daemon::run(std::function<Asio::awaitable<void>()> shutdown,
    std::function<std::string()> describeInterruptedWork)
{
    Asio::co_spawn(
        m_control, waitForSignals(std::move(shutdown), std::move(describeInterruptedWork)),
        Asio::detached);
    const auto trafficWork = Asio::make_work_guard(m_traffic);
    std::thread traffic([this] { m_traffic.run(); });
    const auto controlWork = Asio::make_work_guard(m_control);
    m_control.run();
    traffic.join();
}

void Daemon::stop()
{
    m_traffic.stop();
    m_control.stop();
}

Asio::awaitable<void> Daemon::waitForSignals(std::function<Asio::awaitable<void>()> shutdown,
    std::function<std::string()> describeInterruptedWork)
{
    co_await m_signals.async_wait(Asio::use_awaitable);
    writeLog(LogLevel::Info, "shutdown_started");
    Asio::co_spawn(m_control, std::move(shutdown), Asio::detached);
    co_await m_signals.async_wait(Asio::use_awaitable);
    const boost::json::object fields { { "cut", describeInterruptedWork() } };
    writeLog(LogLevel::Warning, "shutdown_forced", fields);
    std::_Exit(exitFailure);
}

}
