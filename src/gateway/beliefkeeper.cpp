#include "gateway/beliefkeeper.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "platform/names.h"
#include "platform/objecttranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    // Kind of the entries of this system's own hosts.
    constexpr std::string_view hostsPrefix = "apricot-hosts/";
    constexpr Milliseconds registerRetry { 500 };
    // Configurations have to be in force, and servers that leave to be left alone, within two seconds,
    // evacuated domains within five; hosts are only slowly added and removed.
    StoreFollowerOptions configOptions()
    {
        return { .prefix = std::string(PlatformNames::configurationPrefix) };
    }
    StoreFollowerOptions serversOptions()
    {
        return { .prefix = std::string(PlatformNames::serversPrefix),
            .gatherTime = Milliseconds(800) };
    }
    StoreFollowerOptions evacuationsOptions()
    {
        return { .prefix = std::string(PlatformNames::evacuationsPrefix),
            .watchTime = Milliseconds(4000),
            .relayedAge = Milliseconds(4000) };
    }
    StoreFollowerOptions hostsOptions()
    {
        return { .prefix = std::string(hostsPrefix),
            .watchTime = Milliseconds(10'000),
            .gatherTime = Milliseconds(1500),
            .relayedAge = Milliseconds(8000) };
    }

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
          configOptions(),
          [this](const PlatformList& list) {
              for (const PlatformObject& object : list.objects)
                  takeConfig(object.key, object.version, object.value);
          },
          [this](const PlatformEvent& event) {
              if (event.value)
                  takeConfig(event.key, event.version, *event.value);
          }))
    , m_servers(makeFollower(
          serversOptions(),
          [this](const PlatformList& list) { takeServers(list); },
          [this](const PlatformEvent& event) { takeServer(event); }))
    , m_evacuations(makeFollower(
          evacuationsOptions(),
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
          hostsOptions(),
          [this](const PlatformList& list) { takeHosts(list); },
          [this](const PlatformEvent& event) { takeHost(event); }))
{
}

StoreFollower BeliefKeeper::makeFollower(StoreFollowerOptions options,
    std::function<void(const PlatformList&)> listed,
    std::function<void(const PlatformEvent&)> changed)
{
    const std::string prefix = options.prefix;
    StoreFollower::Handlers handlers { .listed = std::move(listed), .changed = std::move(changed) };
    handlers.lost = [this, prefix](const std::string& reason) {
        m_view.servers().onStoreLost();
        writeLog(LogLevel::Warning, "store_lost", { { "kind", prefix }, { "reason", reason } });
    };
    handlers.regained = [this, prefix] {
        if (!isStoreLost())
            m_view.servers().onStoreRegained(RuntimeClock::now());
        writeLog(LogLevel::Info, "store_regained", { { "kind", prefix } });
    };
    return { m_context, m_store, m_contact, std::move(options), std::move(handlers) };
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
        m_configBytes = json::serialize(value).size();
        if (!m_view.applyConfig(std::move(config), revision))
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
    writeLog(LogLevel::Info, "failure_domains_out_of_service", { { "domains", std::move(domains) } });
    m_view.setOutOfServiceDomains(m_domainsOut, RuntimeClock::now());
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
        writeLog(LogLevel::Warning, "host_deregistration_failed", { { "reason", error.what() } });
    }
}

}
