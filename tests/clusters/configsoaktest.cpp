#include "gatewaycluster.h"

#include "clustersupport.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <random>

using namespace Apricot;
namespace json = boost::json;

namespace {

// Bounds of the users' deployments, for fleets whose hosts read the store themselves and for larger ones: how long after the
// end of all disturbances a host counts as sound, and how long after its acknowledgement a version has to be in force.
struct Bounds {
    std::size_t hosts = 0;
    Milliseconds contactTime { 0 };
    Milliseconds applyTime { 0 };
};
constexpr Bounds smallFleet { .hosts = 6, .contactTime = Milliseconds(3000), .applyTime = Milliseconds(2000) };
constexpr Bounds largeFleet { .hosts = 24, .contactTime = Milliseconds(4000), .applyTime = Milliseconds(3000) };

constexpr Milliseconds disturbedTime { 5000 };
constexpr Milliseconds longestLastSilence { 500 };
constexpr Milliseconds observedTime { 2500 };
constexpr Milliseconds step { 50 };
constexpr Milliseconds shortestFault { 50 };
constexpr int manyRoutes = 300;
constexpr std::uint64_t defaultSeeds = 1;
constexpr std::uint64_t firstSeed = 20261206;

struct WrittenVersion {
    std::uint64_t version = 0;
    TimePoint writtenAt {};
};

std::uint64_t environmentNumber(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// One play: disturbances of the store and of hosts in overlapping series, changes of the configuration all the while, and an
// end of all disturbances after which each host has to be up to date.
class ConfigPlay {
public:
    ConfigPlay(const Bounds& bounds, std::uint64_t seed)
        : m_bounds(bounds)
        , m_random(seed)
        , m_cluster(bounds.hosts)
        , m_suspendedUntil(bounds.hosts)
        , m_idleRoutes(chance() < 0.3 ? manyRoutes : 0)
    {
        m_cluster.addServers("plain", 2);
        m_cluster.waitUntilReady();
    }

    void disturb()
    {
        const bool isCalm = chance() < 0.5;
        const double intensity = isCalm ? 0.05 : 1;
        const TimePoint end = RuntimeClock::now() + disturbedTime;
        while (RuntimeClock::now() < end) {
            disturbStore(intensity);
            disturbHosts(intensity);
            writeVersionAtTimes();
            m_cluster.runFor(step);
        }
        // A watch that has just begun when a short silence loses it would wait longest.
        if (isCalm)
            runUntilAWatchBegins();
        m_cluster.setStoreFaults(R"({"silent":true})");
        m_cluster.runFor(timeUpTo(isCalm ? shortestFault : longestLastSilence));
        for (std::size_t host = 0; host < m_bounds.hosts; ++host)
            m_cluster.setSuspended(host, false);
        m_cluster.setStoreFaults("{}");
        m_endedAt = RuntimeClock::now();
    }

    // Number of times that a sound host had an older version than it should.
    int countLate()
    {
        int late = 0;
        const TimePoint soundAt = m_endedAt + m_bounds.contactTime;
        while (RuntimeClock::now() < soundAt + observedTime) {
            writeVersionAtTimes();
            m_cluster.runFor(step);
            for (std::size_t host = 0; host < m_bounds.hosts && RuntimeClock::now() >= soundAt; ++host) {
                const std::uint64_t expected = versionDueAt(RuntimeClock::now());
                const auto version = static_cast<std::uint64_t>(m_cluster.metricOf(host, "apricot_config_version").value_or(0));
                late += version < expected ? 1 : 0;
            }
        }
        return late;
    }

private:
    void runUntilAWatchBegins()
    {
        constexpr Milliseconds pollInterval { 2 };
        const std::size_t before = m_cluster.storeCalls("watches");
        const TimePoint end = RuntimeClock::now() + disturbedTime;
        while (m_cluster.storeCalls("watches") == before && RuntimeClock::now() < end)
            m_cluster.runFor(pollInterval);
    }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Milliseconds timeUpTo(Milliseconds longest)
    {
        return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(shortestFault.count(), longest.count())(m_random));
    }

    // Faults of the store begin and end independently of each other.
    void disturbStore(double intensity)
    {
        const double beginChance = 0.06 * intensity;
        constexpr Milliseconds longestFault { 1500 };
        const std::vector<std::pair<std::string, json::value>> faults { { "silent", true }, { "outage", true },
            { "delay_ms", 150 }, { "stale_list_lag", 2 }, { "unavailable_kinds", json::array { "servers", "apricot-poison" } },
            { "unavailable_kinds", json::array { "config" } } };
        const TimePoint now = RuntimeClock::now();
        const std::size_t before = m_faultsUntil.size();
        std::erase_if(m_faultsUntil, [now](const auto& fault) { return fault.second <= now; });
        bool isChanged = m_faultsUntil.size() != before;
        for (std::size_t index = 0; index < faults.size(); ++index) {
            if (chance() >= beginChance)
                continue;
            isChanged = true;
            m_faultsUntil[index] = now + timeUpTo(longestFault);
        }
        if (!isChanged)
            return;
        json::object active;
        for (const auto& [index, until] : m_faultsUntil)
            active[faults[index].first] = faults[index].second;
        m_cluster.setStoreFaults(json::serialize(active));
    }

    void disturbHosts(double intensity)
    {
        const double suspendChance = 0.02 * intensity;
        const double restartChance = 0.004 * intensity;
        constexpr Milliseconds longestSuspension { 1300 };
        const TimePoint now = RuntimeClock::now();
        for (std::size_t host = 0; host < m_bounds.hosts; ++host) {
            if (m_suspendedUntil[host] <= now)
                m_cluster.setSuspended(host, false);
            if (chance() < suspendChance) {
                m_suspendedUntil[host] = now + timeUpTo(longestSuspension);
                m_cluster.setSuspended(host, true);
            } else if (chance() < restartChance) {
                m_cluster.restartHost(host);
            }
        }
    }

    void writeVersionAtTimes()
    {
        constexpr double writeChance = 0.1;
        constexpr Milliseconds writeInterval { 150 };
        if (!m_written.empty() && RuntimeClock::now() < m_written.back().writtenAt + writeInterval)
            return;
        if (chance() >= writeChance)
            return;
        json::value config = json::parse(clusterConfig);
        const std::uint64_t version = m_written.empty() ? 2 : m_written.back().version + 1;
        config.as_object()["version"] = version;
        json::array& routes = config.at("routes").as_array();
        for (int route = 0; route < m_idleRoutes; ++route) {
            json::value idle = routes.front();
            idle.as_object()["pathPrefix"] = "/idle-" + std::to_string(route) + "/";
            routes.push_back(std::move(idle));
        }
        // A write that the store does not acknowledge is not recorded as written.
        if (m_cluster.tryWriteObject("config/main", std::move(config)))
            m_written.push_back({ .version = version, .writtenAt = RuntimeClock::now() });
    }

    // Newest version that has to be in force everywhere at a time.
    std::uint64_t versionDueAt(TimePoint time) const
    {
        std::uint64_t due = 1;
        for (const WrittenVersion& written : m_written) {
            if (written.writtenAt + m_bounds.applyTime < time)
                due = written.version;
        }
        return due;
    }

    Bounds m_bounds;
    std::mt19937_64 m_random;
    GatewayCluster m_cluster;
    std::vector<TimePoint> m_suspendedUntil;
    // Routes that no caller uses, and that make the configuration too large to be relayed.
    int m_idleRoutes = 0;
    std::map<std::size_t, TimePoint> m_faultsUntil;
    std::vector<WrittenVersion> m_written;
    TimePoint m_endedAt {};
};

// CONFIG_SOAK_SEEDS plays, from seed CONFIG_SOAK_SEED on.
void playSeeds(const Bounds& bounds)
{
    const std::uint64_t first = environmentNumber("CONFIG_SOAK_SEED", firstSeed);
    const std::uint64_t count = environmentNumber("CONFIG_SOAK_SEEDS", defaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        ConfigPlay play(bounds, seed);
        play.disturb();
        LONGS_EQUAL_TEXT(0, play.countLate(), ("CONFIG_SOAK_SEED=" + std::to_string(seed)).c_str());
    }
}

}

// How late a configuration is in force at hosts that are sound again after disturbances that overlap.
TEST_GROUP(ConfigSoak) {};

// Guards against a host that lives on with an older configuration after disturbances that have ended.
TEST(ConfigSoak, hostsThatReadTheStoreAreUpToDateOnceTheyAreSound)
{
    playSeeds(smallFleet);
}

TEST(ConfigSoak, hostsThatPeersRelayToAreUpToDateOnceTheyAreSound)
{
    playSeeds(largeFleet);
}
