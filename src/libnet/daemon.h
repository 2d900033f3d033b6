#pragma once

#include "libapricot/clock.h"
#include "libapricot/processsettings.h"
#include "libapricot/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace Apricot {

// Command line of a daemon, parsed by gflags.
struct DaemonCommand {
    std::string configFile;
    bool checkOnly = false;
    bool helpSettings = false;
};

// Parses --config, --check and --help_settings, and handles --help and --version.
DaemonCommand parseDaemonCommand(int argc, char** argv, const std::string& usage);

// Path given by --config.
std::string settingsFile();

// Exit statuses of the daemons.
constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalidSettings = 2;

// Prints every problem of a settings file to standard error.
void printProblems(const SettingsError& error);

// Starts logging for the process as configured in its settings.
void startDaemonLog(const std::string& program, const ProcessSettings& settings);

// The two event loops of a daemon: control state runs on the thread that calls run(), traffic on
// another thread.
class Daemon {
public:
    Daemon();

    boost::asio::io_context& control() { return m_control; }
    boost::asio::io_context& traffic() { return m_traffic; }

    // Runs until stop(). The shutdown coroutine is started on the control thread by SIGTERM or
    // SIGINT and calls stop() at its end; a second signal calls describeInterruptedWork, logs its
    // result and ends the process at once.
    void run(std::function<boost::asio::awaitable<void>()> shutdown,
        std::function<std::string()> describeInterruptedWork);
    void stop();

private:
    boost::asio::awaitable<void> waitForSignals(
        std::function<boost::asio::awaitable<void>()> shutdown,
        std::function<std::string()> describeInterruptedWork);

    boost::asio::io_context m_control;
    boost::asio::io_context m_traffic;
    boost::asio::signal_set m_signals;
};

// Loads the settings file and calls the body of the daemon with the settings. Returns the exit
// status.
template <typename Settings>
int runDaemon(int argc, char** argv, const std::string& program, const std::string& usage,
    const std::function<int(const Settings&)>& body)
{
    const DaemonCommand command = parseDaemonCommand(argc, argv, usage);
    if (command.helpSettings) {
        Settings settings;
        SettingsTable table;
        describe(settings, table);
        std::fputs(settingsHelp(table).c_str(), stdout);
        return exitOk;
    }
    try {
        const auto settings = loadSettingsAs<Settings>(command.configFile);
        if (command.checkOnly)
            return exitOk;
        startDaemonLog(program, settings.process);
        return body(settings);
    } catch (const SettingsError& error) {
        printProblems(error);
        return exitInvalidSettings;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s: %s\n", program.c_str(), error.what());
        return exitFailure;
    }
}

}
