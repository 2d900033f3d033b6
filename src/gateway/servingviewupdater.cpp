#include "gateway/servingviewupdater.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "libserving/poisonobject.h"
#include "platform/names.h"
#include "platform/objecttranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    // A configuration has to be in force within two seconds, and departing servers must get no new work
    // after two seconds; evacuated domains have five. Hosts are added and removed only slowly.
    StoreFollowerOptions configOptions()
    {
        return { .prefix = std::string(PlatformNames::configurationPrefix), .isRefreshedAtOnce = true, .hasBoundedAge = true };
    }
    StoreFollowerOptions serversOptions()
    {
        return { .prefix = std::string(PlatformNames::serversPrefix),
            .batchDelay = Milliseconds(800),
            .isConfirmedByOthers = true };
    }
    StoreFollowerOptions evacuationsOptions()
    {
        return { .prefix = std::string(PlatformNames::evacuationsPrefix),
            .watchTimeout = Milliseconds(4000),
            .maxRelayedAge = Milliseconds(4000),
            .isConfirmedByOthers = true };
    }
    StoreFollowerOptions hostsOptions()
    {
        return { .prefix = std::string(hostsPrefix),
            .watchTimeout = Milliseconds(10'000),
            .batchDelay = Milliseconds(800),
            .maxRelayedAge = Milliseconds(8000),
            .isConfirmedByOthers = true,
            .startsFromStaleList = false };
    }

    // Many servers that end together give hundreds of findings, which must not hold up news of other servers that leave.
    StoreFollowerOptions poisonOptions()
    {
        constexpr std::size_t maxRelayedBytes = 16'384;
        return { .prefix = std::string(poisonPrefix),
            .batchDelay = Milliseconds(150),
            .isConfirmedByOthers = true,
            .maxRelayedBytes = maxRelayedBytes };
    }

    StoreFollowerOptions rolloutOptions()
    {
        return { .prefix = std::string(PlatformNames::rolloutsPrefix),
            .batchDelay = Milliseconds(100),
            .isConfirmedByOthers = true };
    }

    std::string objectName(const std::string& key) { return key.substr(key.find('/') + 1); }

}

ServingViewUpdater::ServingViewUpdater(Asio::io_context& context, PlatformClient& store, ServingView& view,
    StoreCallCounter& calls, const HostId& self, PeerHost selfEntry)
    : m_context(context)
    , m_store(store)
    , m_view(view)
    , m_calls(calls)
    , m_self(self)
    , m_registration(context, store, calls, self, std::move(selfEntry))
    , m_configFollower(makeFollower(
          configOptions(),
          [this](const PlatformList& list) {
              for (const PlatformObject& object : list.objects)
                  applyConfig(object.key, object.version, object.value);
          },
          [this](const PlatformEvent& event) {
              if (event.value)
                  applyConfig(event.key, event.version, *event.value);
          }))
    , m_serversFollower(makeFollower(
          serversOptions(),
          [this](const PlatformList& list) { applyServerList(list); },
          [this](const PlatformEvent& event) { applyServerEvent(event); }))
    , m_evacuationsFollower(makeFollower(
          evacuationsOptions(),
          [this](const PlatformList& list) {
              std::set<FailureDomainId> domains;
              for (const PlatformObject& object : list.objects)
                  domains.insert(FailureDomainId(objectName(object.key)));
              m_outOfServiceDomains.replaceAll(std::move(domains), RuntimeClock::now());
              applyEvacuations();
          },
          [this](const PlatformEvent& event) {
              const FailureDomainId domain(objectName(event.key));
              if (event.value)
                  m_outOfServiceDomains.put(domain);
              else
                  m_outOfServiceDomains.remove(domain);
              applyEvacuations();
          }))
    , m_hostsFollower(makeFollower(
          hostsOptions(),
          [this](const PlatformList& list) { applyHostList(list); },
          [this](const PlatformEvent& event) { applyHostEvent(event); }))
    , m_poisonFollower(makeFollower(
          poisonOptions(),
          [this](const PlatformList& list) {
              if (m_onPoisonListed)
                  m_onPoisonListed(list);
          },
          [this](const PlatformEvent& event) {
              if (m_onPoisonChanged)
                  m_onPoisonChanged(event);
          }))
    , m_rolloutFollower(makeFollower(
          rolloutOptions(),
          [this](const PlatformList& list) { m_onRolloutsListed(list); },
          [this](const PlatformEvent& event) { m_onRolloutChanged(event); }))
{
}

void ServingViewUpdater::setPoisonHandlers(std::function<void(const PlatformList&)> onListed,
    std::function<void(const PlatformEvent&)> onChanged)
{
    m_onPoisonListed = std::move(onListed);
    m_onPoisonChanged = std::move(onChanged);
}

void ServingViewUpdater::followRollouts(std::function<void(const PlatformList&)> onListed,
    std::function<void(const PlatformEvent&)> onChanged)
{
    m_onRolloutsListed = std::move(onListed);
    m_onRolloutChanged = std::move(onChanged);
}

void ServingViewUpdater::start()
{
    m_registration.start();
    m_hostsFollower.start();
}

void ServingViewUpdater::startOtherFollowers()
{
    if (std::exchange(m_areOthersStarted, true))
        return;
    m_configFollower.start();
    m_serversFollower.start();
    m_evacuationsFollower.start();
    m_poisonFollower.start();
    if (m_onRolloutsListed)
        m_rolloutFollower.start();
}

std::vector<StoreFollower*> ServingViewUpdater::followers()
{
    std::vector<StoreFollower*> all { &m_configFollower, &m_serversFollower, &m_evacuationsFollower, &m_hostsFollower,
        &m_poisonFollower };
    if (m_onRolloutsListed)
        all.push_back(&m_rolloutFollower);
    return all;
}

std::array<const StoreFollower*, ServingViewUpdater::followerCount> ServingViewUpdater::allFollowers() const
{
    return { &m_configFollower, &m_serversFollower, &m_evacuationsFollower, &m_hostsFollower, &m_poisonFollower,
        &m_rolloutFollower };
}

bool ServingViewUpdater::isStoreLost() const
{
    const auto all = allFollowers();
    return std::any_of(all.begin(), all.end(), [](const StoreFollower* follower) { return follower->isLost(); });
}

bool ServingViewUpdater::isConfirmed() const
{
    const StoreFollower* const needed[] = { &m_configFollower, &m_serversFollower };
    return std::all_of(std::begin(needed), std::end(needed),
        [](const StoreFollower* follower) { return follower->isConfirmed() || follower->isLost(); });
}

bool ServingViewUpdater::isStoreAway() const
{
    const auto all = allFollowers();
    return std::any_of(all.begin(), all.end(), [](const StoreFollower* follower) { return follower->isStoreAway(); });
}

void ServingViewUpdater::setSettleTime(Milliseconds time)
{
    m_settleTime = time;
    m_view.servers().setSettleTime(time);
    m_outOfServiceDomains.setSettleTime(time);
}

void ServingViewUpdater::onStoreRestored(const std::string& prefix, ObjectVersion lastRevision)
{
    const TimePoint now = RuntimeClock::now();
    writeLog(LogLevel::Warning, "store_restored",
        { { "kind", prefix }, { "last_revision", lastRevision }, { "settle_ms", m_settleTime.count() } });
    if (prefix == PlatformNames::serversPrefix)
        m_view.servers().onStoreRestored(now);
    else if (prefix == PlatformNames::evacuationsPrefix)
        m_outOfServiceDomains.onStoreRestored(now);
    else if (prefix == hostsPrefix)
        m_areHostsRestored = true;
    else
        return;
    m_settledAt = now + m_settleTime;
    Asio::co_spawn(m_context, endSettling(), Asio::detached);
}

Asio::awaitable<void> ServingViewUpdater::endSettling()
{
    co_await sleepFor(m_context.get_executor(), m_settleTime);
    if (RuntimeClock::now() < m_settledAt)
        co_return;
    for (const HostId& id : std::exchange(m_unconfirmedHosts, {}))
        m_view.removeHost(id);
    applyEvacuations();
    notifyChanged();
}

void ServingViewUpdater::applyConfig(
    const std::string& key, ObjectVersion revision, const json::value& value)
{
    if (key != PlatformNames::configurationKey)
        return;
    try {
        ServingConfig config = Platform::readServingConfig(value);
        const auto version = config.version;
        const bool requiresKeys = config.requiresKeys();
        m_configSize = json::serialize(value).size();
        if (!m_view.applyConfig(std::move(config), revision)) {
            writeLog(LogLevel::Info, "config_outdated",
                { { "version", version }, { "revision", revision },
                    { "version_in_force", m_view.config()->version } });
            return;
        }
        writeLog(LogLevel::Info, "config_in_force",
            { { "version", version }, { "revision", revision }, { "requires_keys", requiresKeys } });
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, "config_rejected",
            { { "revision", revision }, { "reason", error.what() } });
    }
}

void ServingViewUpdater::applyServerList(const PlatformList& list)
{
    std::vector<ServerEntry> servers;
    for (const PlatformObject& object : list.objects) {
        if (auto server = Platform::readServerEntry(objectName(object.key), object.value))
            servers.push_back(std::move(*server));
        else
            writeLog(LogLevel::Warning, "server_entry_ignored", { { "key", object.key } });
    }
    const TimePoint now = RuntimeClock::now();
    for (const BackendServerId& id : m_view.servers().replaceAll(servers, now))
        writeLog(LogLevel::Info, "server_entry_outdated",
            { { "server", id.value() }, { "revision", list.revision } });
    writeLog(LogLevel::Info, "servers_listed",
        { { "servers", servers.size() }, { "revision", list.revision } });
}

void ServingViewUpdater::applyServerEvent(const PlatformEvent& event)
{
    const std::string name = objectName(event.key);
    const TimePoint now = RuntimeClock::now();
    const auto server
        = event.value ? Platform::readServerEntry(name, *event.value) : std::nullopt;
    if (server) {
        const bool isApplied = m_view.servers().put(*server, now);
        writeLog(LogLevel::Info, isApplied ? "server_changed" : "server_entry_outdated",
            { { "server", name }, { "revision", event.version },
                { "draining", server->isDraining }, { "cold_ms", server->coldTimeLeft.count() },
                { "started_at", server->startedAt }, { "sequence", server->sequence },
                { "server_version", server->softwareVersion.value() }, { "endpoint", toText(server->endpoint) } });
    } else {
        m_view.servers().remove(BackendServerId(name), now);
        writeLog(LogLevel::Info, event.value ? "server_entry_ignored" : "server_gone",
            { { "server", name }, { "revision", event.version } });
    }
}

void ServingViewUpdater::applyEvacuations()
{
    json::array domains;
    const TimePoint now = RuntimeClock::now();
    std::set<FailureDomainId> current = m_outOfServiceDomains.current(now);
    for (const FailureDomainId& domain : current)
        domains.emplace_back(domain.value());
    writeLog(LogLevel::Info, "failure_domains_out_of_service", { { "domains", std::move(domains) } });
    m_view.setOutOfServiceDomains(std::move(current), now);
}

void ServingViewUpdater::applyHostList(const PlatformList& list)
{
    std::map<HostId, PeerHost> hosts;
    for (const PlatformObject& object : list.objects) {
        if (const auto host = readHost(object.value))
            hosts[HostId(objectName(object.key))] = *host;
        else
            writeLog(LogLevel::Warning, "host_entry_ignored", { { "key", object.key } });
    }
    const bool isListed = hosts.contains(m_self);
    m_unconfirmedHosts.clear();
    // The hosts that an older copy lacks register again. Without them, the parts of this host in limits over all
    // hosts would be too large.
    if (std::exchange(m_areHostsRestored, false)) {
        for (const auto& [id, host] : m_view.hosts()) {
            if (hosts.emplace(id, host).second)
                m_unconfirmedHosts.insert(id);
        }
    }
    m_view.replaceHosts(std::move(hosts));
    m_registration.onEntryShown(isListed);
}

void ServingViewUpdater::applyHostEvent(const PlatformEvent& event)
{
    const HostId id(objectName(event.key));
    m_unconfirmedHosts.erase(id);
    const auto host = event.value ? readHost(*event.value) : std::nullopt;
    if (host)
        m_view.putHost(id, *host);
    else
        m_view.removeHost(id);
    if (id == m_self)
        m_registration.onEntryShown(host.has_value());
    const char* const gone = event.value ? "host_entry_ignored" : "peer_gone";
    writeLog(LogLevel::Info, host ? "peer_registered" : gone, { { "peer", id.value() } });
}

void ServingViewUpdater::notifyChanged()
{
    if (m_changeHandler)
        m_changeHandler();
}

}
