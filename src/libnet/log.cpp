#include "libnet/log.h"

#include "libapricot/settingvalue.h"
#include "libnet/logsink.h"

#include <easylogging++.h>

#include <boost/json/serialize.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <mutex>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace Apricot {

namespace {

    constexpr int disabledLevel = static_cast<int>(LogLevel::Error) + 1;
    constexpr const char* loggerName = "apricot";

    std::atomic<int> minimumLevel { disabledLevel };
    // Guards the options and the logging library, so that lines are written one at a time.
    std::mutex logMutex;

    LogOptions& currentOptions()
    {
        static LogOptions options;
        return options;
    }

    // Writes log lines to standard output if no log file is set.
    class StandardOutputWriter : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            if (currentOptions().file.empty())
                m_sink.write(data->logMessage()->message());
        }

    private:
        LogSink m_sink { STDOUT_FILENO };
    };

    // Wall time in UTC with milliseconds in ISO 8601 format. Only for readers of the log: no decision
    // depends on it.
    std::string timeText()
    {
        const auto now = std::chrono::system_clock::now();
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
        std::tm utcTime {};
        gmtime_r(&seconds, &utcTime);
        std::array<char, 32> date {};
        std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utcTime);
        std::array<char, 40> text {};
        std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(),
            static_cast<int>(milliseconds));
        return text.data();
    }

    void configureLogger(const std::string& file)
    {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%msg");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
        configuration.setGlobally(
            el::ConfigurationType::Filename, file.empty() ? "/dev/null" : file);
        el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
        el::Loggers::getLogger(loggerName);
        el::Loggers::reconfigureLogger(loggerName, configuration);
    }

    void writeLine(LogLevel level, const std::string& line)
    {
        el::Logger* logger = el::Loggers::getLogger(loggerName);
        switch (level) {
        case LogLevel::Debug:
            return logger->debug(line);
        case LogLevel::Info:
            return logger->info(line);
        case LogLevel::Warning:
            return logger->warn(line);
        case LogLevel::Error:
            return logger->error(line);
        }
    }

}

void startLog(const LogOptions& options)
{
    const std::lock_guard lock(logMutex);
    currentOptions() = options;
    configureLogger(options.file);
    el::Helpers::installLogDispatchCallback<StandardOutputWriter>("standard-output");
    minimumLevel.store(static_cast<int>(options.level));
}

bool isLogged(LogLevel level)
{
    return static_cast<int>(level) >= minimumLevel.load(std::memory_order_relaxed);
}

void writeLog(LogLevel level, std::string_view event, const boost::json::object& fields)
{
    if (!isLogged(level))
        return;
    const std::lock_guard lock(logMutex);
    writeLine(level, logLine(currentOptions(), level, event, fields));
}

std::string logLine(const LogOptions& options, LogLevel level, std::string_view event,
    const boost::json::object& fields)
{
    boost::json::object line {
        { "time", timeText() },
        { "level", logLevelName(level) },
        { "host", options.host.value() },
        { "program", options.program },
        { "event", event },
    };
    line.insert(fields.begin(), fields.end());
    return boost::json::serialize(line);
}

}
