#include "gateway/hostregistration.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds retryDelay { 500 };

    json::value toJson(const PeerHost& host)
    {
        return json::object { { "endpoint", toText(host.endpoint) },
            { "failure_domain", host.domain.value() } };
    }

}

std::optional<PeerHost> readHost(const json::value& value)
{
    const json::object* object = value.if_object();
    const json::value* endpoint = object ? object->if_contains("endpoint") : nullptr;
    const json::value* domain = object ? object->if_contains("failure_domain") : nullptr;
    if (!endpoint || !domain || !endpoint->is_string() || !domain->is_string())
        return std::nullopt;
    const auto parsed = parseEndpoint(endpoint->as_string());
    if (!parsed)
        return std::nullopt;
    return PeerHost { *parsed, FailureDomainId(std::string(domain->as_string())) };
}

HostRegistration::HostRegistration(Asio::io_context& context, PlatformClient& store, StoreCallCounter& calls,
    HostId self, PeerHost entry)
    : m_context(context)
    , m_store(store)
    , m_calls(calls)
    , m_key(std::string(hostsPrefix) + self.value())
    , m_entry(std::move(entry))
{
}

void HostRegistration::start()
{
    Asio::co_spawn(m_context, registerHost(), Asio::detached);
}

void HostRegistration::onEntryShown(bool isListed)
{
    if (isListed || !m_isRegistered || m_isLeaving)
        return;
    writeLog(LogLevel::Warning, "host_entry_missing", { { "endpoint", toText(m_entry.endpoint) } });
    m_isRegistered = false;
    start();
}

Asio::awaitable<void> HostRegistration::registerHost()
{
    while (!m_isRegistered && !m_isLeaving) {
        try {
            m_isRegistered = co_await writeEntry();
        } catch (const PlatformUnavailable&) {
            // The followers log that the store is unavailable.
        }
        if (!m_isRegistered)
            co_await sleepFor(m_context.get_executor(), retryDelay);
    }
    writeLog(LogLevel::Info, "host_registered", { { "endpoint", toText(m_entry.endpoint) } });
}

Asio::awaitable<bool> HostRegistration::writeEntry()
{
    const json::value entry = toJson(m_entry);
    m_calls.record(m_key, "registration");
    const WriteResult created = co_await m_store.put(m_key, entry, ObjectVersion(0));
    const auto* conflict = std::get_if<WriteConflict>(&created);
    if (!conflict)
        co_return recordWrite(created);
    // An earlier process of this host has left its entry.
    if (conflict->current && conflict->current->value == entry) {
        m_revision = conflict->current->version;
        co_return true;
    }
    m_calls.record(m_key, "registration");
    const WriteResult replaced = co_await m_store.put(m_key, entry, std::nullopt);
    co_return recordWrite(replaced);
}

bool HostRegistration::recordWrite(const WriteResult& result)
{
    const auto* stored = std::get_if<WriteStored>(&result);
    if (stored)
        m_revision = stored->version;
    return stored != nullptr;
}

Asio::awaitable<void> HostRegistration::deregister()
{
    m_isLeaving = true;
    m_calls.record(m_key, "deregistration");
    try {
        // A removal that is done late does not apply to what the next process of this host has written.
        const WriteResult removed = co_await m_store.remove(m_key, m_revision);
        const auto* conflict = std::get_if<WriteConflict>(&removed);
        if (conflict && conflict->current && conflict->current->value == toJson(m_entry)) {
            m_calls.record(m_key, "deregistration");
            co_await m_store.remove(m_key, conflict->current->version);
        }
    } catch (const PlatformUnavailable& error) {
        writeLog(LogLevel::Warning, "host_deregistration_failed", { { "reason", error.what() } });
    }
}

}
