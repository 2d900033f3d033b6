#pragma once

#include "libserving/rollout/rolloutplan.h"
#include "libserving/rollout/rolloutrouting.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

// How servers of one version answer a request of a route at a time.
struct PlayedAnswer {
    double failureShare = 0.004;
    // Multiple of the usual duration.
    double slowdown = 1;
};

struct PlayedRoute {
    std::string name;
    double requestsPerSecond = 0;
    double typicalMilliseconds = 40;
};

// Load and versions of one played roll-out.
struct PlayedRollout {
    std::vector<PlayedRoute> routes { { "long", 90, 30 }, { "digest", 170, 25 }, { "chat", 52, 20 } };
    int servers = 40;
    Apricot::Milliseconds timeLimit { 14'000 };
    // Time after which half of the hosts hear of a write.
    Apricot::Milliseconds noticeTime { 1000 };
    // Time for which a request runs.
    Apricot::Milliseconds runTime { 1500 };
    // Seconds since the order, and the route.
    std::function<PlayedAnswer(double, const std::string&)> target = [](double, const std::string&) { return PlayedAnswer {}; };
    std::function<PlayedAnswer(double, const std::string&)> replaced = [](double, const std::string&) { return PlayedAnswer {}; };
};

struct PlayedOutcome {
    Apricot::RolloutState state = Apricot::RolloutState::InProgress;
    std::string reason;
    double endedAfterSeconds = 0;
    // Requests to the target version until the limit, those that it answered badly, and all requests.
    int targetRequests = 0;
    int targetFailures = 0;
    int requests = 0;
};

// Plays a roll-out in steps of a tenth of a second: the routing of a host that hears of writes at once and of one that
// hears of them late, and an acting host that assesses what both observed twice a second.
inline PlayedOutcome play(const PlayedRollout& rollout, unsigned seed)
{
    using namespace Apricot;
    constexpr Milliseconds step { 100 };
    const PoolId pool("engines");
    const SoftwareVersion target("v2");
    const SoftwareVersion old("v1");
    std::mt19937 random(seed);
    const TimePoint start {};
    ServerDirectory directory;
    for (int index = 0; index < 2 * rollout.servers; ++index) {
        const SoftwareVersion& version = index < rollout.servers ? old : target;
        directory.put({ .id = BackendServerId("s" + std::to_string(index)),
                          .pool = pool,
                          .softwareVersion = version },
            start);
    }
    ServingConfig config;
    config.pools[pool] = { .id = pool, .engine = EngineTraits {} };
    std::vector<RolloutRouting> hosts(2);
    for (RolloutRouting& host : hosts)
        host.setOptions({ .exposureShare = 0.1 });
    StoredRollout stored { .order = { pool, target, rollout.timeLimit }, .revision = 1 };
    std::vector<std::pair<TimePoint, StoredRollout>> writes { { start, stored } };
    RolloutEvidence evidence;
    std::vector<std::pair<TimePoint, RolloutEvidence>> recent;
    PlayedOutcome outcome;
    std::vector<TimePoint> runsAtReplaced;
    int requestId = 0;
    std::optional<TimePoint> shiftedAt;
    std::optional<std::string> fault;
    for (TimePoint now = start; now < start + rollout.timeLimit + Milliseconds(2000); now += step) {
        const double seconds = std::chrono::duration<double>(now - start).count();
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            for (const auto& [writtenAt, write] : writes) {
                if (writtenAt + static_cast<int>(host) * rollout.noticeTime <= now)
                    hosts[host].put(write, 0, now);
            }
        }
        // A host that has not heard of the order yet gets the finding with its first report about it.
        for (RolloutRouting& host : hosts) {
            if (fault)
                host.recordFault(stored.order, *fault);
        }
        directory.setExcludedServers(hosts[0].excludedServers(directory, &config, now));
        recent.emplace_back(now, RolloutEvidence {});
        std::erase_if(runsAtReplaced, [now](TimePoint end) { return end <= now; });
        for (const PlayedRoute& route : rollout.routes) {
            const int count = std::poisson_distribution<int>(route.requestsPerSecond / 10)(random);
            for (int index = 0; index < count; ++index) {
                RolloutRouting& host = hosts[static_cast<std::size_t>(index) % hosts.size()];
                const std::string id = std::to_string(seed) + "-" + std::to_string(requestId++);
                const auto servers
                    = host.select(directory.usable(pool, now), pool, host.choiceFor(pool, id, false, now));
                if (servers.empty())
                    continue;
                // The preferred version comes first; without one all are alike.
                const bool prefersTarget = host.choiceFor(pool, id, false, now) == VersionChoice::TargetFirst;
                std::vector<const KnownServer*> candidates;
                for (const KnownServer* known : servers) {
                    if (!prefersTarget || known->server.softwareVersion == target)
                        candidates.push_back(known);
                }
                if (candidates.empty())
                    candidates = servers;
                const ServerEntry& server = candidates.at(random() % candidates.size())->server;
                const bool isTarget = server.softwareVersion == target;
                const PlayedAnswer answer = (isTarget ? rollout.target : rollout.replaced)(seconds, route.name);
                const bool fails = std::bernoulli_distribution(answer.failureShare)(random);
                const bool isBeforeLimit = now < start + rollout.timeLimit;
                outcome.requests += isBeforeLimit ? 1 : 0;
                outcome.targetRequests += isTarget && isBeforeLimit ? 1 : 0;
                outcome.targetFailures += isTarget && fails ? 1 : 0;
                const double usual = std::lognormal_distribution<double>(0, 0.3)(random);
                RolloutEvidence observed;
                RouteEvidence& counts = observed.route(route.name);
                AnswerCounts& side = isTarget ? counts.target : counts.replaced;
                if (fails)
                    side.recordFailure(server.id);
                else
                    side.recordSuccess(ceilMilliseconds(route.typicalMilliseconds * usual * answer.slowdown));
                evidence.add(observed);
                recent.back().second.add(observed);
                if (!isTarget)
                    runsAtReplaced.push_back(now + rollout.runTime);
            }
        }
        const bool isAssessed = (now - start) % Milliseconds(500) == Milliseconds(0);
        if (stored.isEnded() || !isAssessed)
            continue;
        RolloutFacts facts { .stored = stored,
            .elapsed = std::chrono::floor<Milliseconds>(now - start),
            .sinceShift = shiftedAt ? std::chrono::floor<Milliseconds>(now - *shiftedAt) : Milliseconds(0),
            .targetServers = static_cast<std::size_t>(rollout.servers),
            .otherVersions = { old },
            .hosts = 2,
            .reportingHosts = 2,
            .inFlightAtReplaced = runsAtReplaced.size(),
            .evidence = evidence };
        for (RolloutRouting& host : hosts)
            facts.shiftedHosts += host.choiceFor(pool, "", true, now) == VersionChoice::TargetOnly ? 1 : 0;
        for (const auto& [time, observed] : recent) {
            if (time + Milliseconds(3000) >= now)
                facts.recentEvidence.add(observed);
        }
        for (const auto& [name, route] : evidence.routes())
            facts.recentEvidence.route(name).replaced = route.replaced;
        if (!fault && stored.status)
            fault = findFault(facts);
        const auto next = planRollout(facts, 0);
        if (!next)
            continue;
        stored.status = next;
        ++stored.revision;
        writes.emplace_back(now, stored);
        if (stored.isShifting())
            shiftedAt = now;
        outcome.state = next->state;
        outcome.reason = next->reason;
        if (stored.isEnded())
            outcome.endedAfterSeconds = seconds;
    }
    return outcome;
}
