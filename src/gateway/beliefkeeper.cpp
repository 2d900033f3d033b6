#include "gateway/beliefkeeper.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "platform/names.h"
#include "platform/objecttranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    // Kind of the entries of this system's own hosts.
    constexpr std::string_view hostsPrefix = "apricot-hosts/";
    constexpr Milliseconds registerRetry { 500 };
    // Changes that come within these times cost each host one call of the store. Configurations and
    // evacuations have to be in force within two seconds; servers announce their leaving that long
    // before they stop, and hosts are only slowly added and removed.
    constexpr Milliseconds configGatherTime { 300 };
    constexpr Milliseconds serversGatherTime { 800 };
    constexpr Milliseconds hostsGatherTime { 1500 };

    std::string nameOf(const std::string& key) { return key.substr(key.find('/') + 1); }

    json::value toJson(const PeerHost& host)
    {
        return json::object { { "endpoint", toText(host.endpoint) },
            { "failure_domain", host.domain.value() } };
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

}

BeliefKeeper::BeliefKeeper(Asio::io_context& context, PlatformClient& store, ServingView& view,
    HostId self, PeerHost selfEntry)
    : m_context(context)
    , m_store(store)
    , m_view(view)
    , m_self(std::move(self))
    , m_selfEntry(std::move(selfEntry))
    , m_config(makeFollower(
          std::string(PlatformNames::configurationPrefix), configGatherTime,
          [this](const PlatformList& list) {
              for (const PlatformObject& object : list.objects)
                  takeConfig(object.key, object.version, object.value);
          },
          [this](const PlatformEvent& event) {
              if (event.value)
                  takeConfig(event.key, event.version, *event.value);
          }))
    , m_servers(makeFollower(
          std::string(PlatformNames::serversPrefix), serversGatherTime,
          [this](const PlatformList& list) { takeServers(list); },
          [this](const PlatformEvent& event) { takeServer(event); }))
    , m_evacuations(makeFollower(
          std::string(PlatformNames::evacuationsPrefix), configGatherTime,
          [this](const PlatformList& list) {
              m_domainsOut.clear();
              for (const PlatformObject& object : list.objects)
                  m_domainsOut.insert(FailureDomainId(nameOf(object.key)));
              takeEvacuations();
          },
          [this](const PlatformEvent& event) {
              const FailureDomainId domain(nameOf(event.key));
              if (event.value)
                  m_domainsOut.insert(domain);
              else
                  m_domainsOut.erase(domain);
              takeEvacuations();
          }))
    , m_hosts(makeFollower(
          std::string(hostsPrefix), hostsGatherTime,
          [this](const PlatformList& list) { takeHosts(list); },
          [this](const PlatformEvent& event) { takeHost(event); }))
{
}

StoreFollower BeliefKeeper::makeFollower(std::string prefix, Milliseconds gatherTime,
    std::function<void(const PlatformList&)> listed,
    std::function<void(const PlatformEvent&)> changed)
{
    const bool isServers = prefix == PlatformNames::serversPrefix;
    StoreFollower::Handlers handlers { .listed = std::move(listed), .changed = std::move(changed) };
    handlers.lost = [this, prefix, isServers](const std::string& reason) {
        if (isServers)
            m_view.servers().storeLost();
        writeLog(LogLevel::Warning, "store_lost", { { "kind", prefix }, { "reason", reason } });
    };
    handlers.regained = [this, prefix, isServers] {
        if (isServers)
            m_view.servers().storeRegained(RuntimeClock::now());
        writeLog(LogLevel::Info, "store_regained", { { "kind", prefix } });
    };
    return { m_context, m_store, { .prefix = std::move(prefix), .gatherTime = gatherTime },
        std::move(handlers) };
}

void BeliefKeeper::start()
{
    m_config.start();
    m_servers.start();
    m_evacuations.start();
    m_hosts.start();
    Asio::co_spawn(m_context, keepRegistered(), Asio::detached);
}

std::vector<StoreFollower*> BeliefKeeper::followers()
{
    return { &m_config, &m_servers, &m_evacuations, &m_hosts };
}

Milliseconds BeliefKeeper::gatherTimeOf(const StoreFollower& follower) const
{
    if (&follower == &m_servers)
        return serversGatherTime;
    return &follower == &m_hosts ? hostsGatherTime : configGatherTime;
}

bool BeliefKeeper::isStoreLost() const
{
    return m_config.isLost() || m_servers.isLost() || m_evacuations.isLost() || m_hosts.isLost();
}

void BeliefKeeper::takeConfig(
    const std::string& key, ObjectVersion revision, const json::value& value)
{
    if (key != PlatformNames::configurationKey)
        return;
    try {
        ServingConfig config = Platform::readServingConfig(value);
        const auto version = config.version;
        if (!m_view.takeConfig(std::move(config), revision))
            return;
        writeLog(LogLevel::Info, "config_in_force",
            { { "version", version }, { "revision", revision } });
        noteChange();
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, "config_rejected",
            { { "revision", revision }, { "reason", error.what() } });
    }
}

void BeliefKeeper::takeServers(const PlatformList& list)
{
    std::vector<ServerEntry> servers;
    for (const PlatformObject& object : list.objects) {
        if (auto server = Platform::readServerEntry(nameOf(object.key), object.value))
            servers.push_back(std::move(*server));
        else
            writeLog(LogLevel::Warning, "server_entry_ignored", { { "key", object.key } });
    }
    m_view.servers().replaceAll(servers, RuntimeClock::now());
    writeLog(LogLevel::Info, "servers_listed",
        { { "servers", servers.size() }, { "revision", list.revision } });
    noteChange();
}

void BeliefKeeper::takeServer(const PlatformEvent& event)
{
    const std::string name = nameOf(event.key);
    const TimePoint now = RuntimeClock::now();
    const auto server
        = event.value ? Platform::readServerEntry(name, *event.value) : std::nullopt;
    if (server) {
        m_view.servers().put(*server, now);
        writeLog(LogLevel::Info, "server_changed",
            { { "server", name }, { "revision", event.version },
                { "draining", server->isDraining }, { "cold_ms", server->coldLeft.count() } });
    } else {
        m_view.servers().remove(BackendServerId(name), now);
        writeLog(LogLevel::Info, event.value ? "server_entry_ignored" : "server_gone",
            { { "server", name }, { "revision", event.version } });
    }
    noteChange();
}

void BeliefKeeper::takeEvacuations()
{
    json::array domains;
    for (const FailureDomainId& domain : m_domainsOut)
        domains.emplace_back(domain.value());
    writeLog(LogLevel::Info, "domains_out", { { "domains", std::move(domains) } });
    m_view.setDomainsOut(m_domainsOut, RuntimeClock::now());
    noteChange();
}

void BeliefKeeper::takeHosts(const PlatformList& list)
{
    std::map<HostId, PeerHost> hosts;
    for (const PlatformObject& object : list.objects) {
        if (const auto host = readHost(object.value))
            hosts[HostId(nameOf(object.key))] = *host;
    }
    m_view.replaceHosts(std::move(hosts));
    noteChange();
}

void BeliefKeeper::takeHost(const PlatformEvent& event)
{
    const HostId id(nameOf(event.key));
    const auto host = event.value ? readHost(*event.value) : std::nullopt;
    if (host)
        m_view.putHost(id, *host);
    else
        m_view.removeHost(id);
    writeLog(LogLevel::Info, host ? "peer_registered" : "peer_gone", { { "peer", id.value() } });
    noteChange();
}

void BeliefKeeper::noteChange()
{
    if (m_changed)
        m_changed();
}

Asio::awaitable<void> BeliefKeeper::keepRegistered()
{
    const std::string key = std::string(hostsPrefix) + m_self.value();
    while (!m_isRegistered && !m_isLeaving) {
        try {
            const WriteResult result = co_await m_store.put(key, toJson(m_selfEntry), std::nullopt);
            m_isRegistered = std::holds_alternative<WriteStored>(result);
        } catch (const PlatformUnavailable&) {
            // The followers log that the store is away.
        }
        if (!m_isRegistered)
            co_await sleepFor(m_context.get_executor(), registerRetry);
    }
    writeLog(LogLevel::Info, "host_registered", { { "endpoint", toText(m_selfEntry.endpoint) } });
}

Asio::awaitable<void> BeliefKeeper::deregister()
{
    m_isLeaving = true;
    try {
        co_await m_store.remove(std::string(hostsPrefix) + m_self.value(), std::nullopt);
    } catch (const PlatformUnavailable& error) {
        writeLog(LogLevel::Warning, "host_not_deregistered", { { "reason", error.what() } });
    }
}

}
