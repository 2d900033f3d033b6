#include "dispatch/statuswriter.h"

#include "libnet/asyncevent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds checkInterval { 250 };
    // Minimum time between two writes.
    constexpr Milliseconds writeInterval { 1000 };

}

json::value toJson(const DaemonStatus& status)
{
    json::array invalid;
    for (const auto& [key, object] : status.invalidObjects) {
        const json::object entry { { "key", key }, { "version", object.version },
            { "error", object.error } };
        invalid.push_back(entry);
    }
    json::object value { { "incarnation", status.incarnation },
        { "version", status.catalogueVersion } };
    value["invalid"] = std::move(invalid);
    return value;
}

StatusWriter::StatusWriter(asio::io_context& context, PlatformClient& platform, HostId host)
    : m_context(context)
    , m_platform(platform)
    , m_key("status/" + host.value())
{
}

void StatusWriter::start()
{
    asio::co_spawn(m_context, writeChanges(), asio::detached);
}

asio::awaitable<void> StatusWriter::writeChanges()
{
    while (true) {
        Milliseconds delay = checkInterval;
        if (m_status != m_written) {
            delay = writeInterval;
            try {
                const DaemonStatus status = m_status;
                const WriteResult result = co_await m_platform.put(m_key, toJson(status), std::nullopt);
                if (std::holds_alternative<WriteStored>(result))
                    m_written = status;
            } catch (const PlatformUnavailable& error) {
                delay = std::max(delay, error.retryAfter());
            }
        }
        co_await sleepFor(m_context.get_executor(), delay);
    }
}

}
