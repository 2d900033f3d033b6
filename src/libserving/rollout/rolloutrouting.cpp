#include "libserving/rollout/rolloutrouting.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

    // Steps into which the hash of a request ID divides all requests.
    constexpr std::uint64_t shareSteps = 1U << 20U;
    // Differs from the seeds of other choices by request ID, such as that of a pool.
    constexpr std::uint64_t shareSeed = 0x726f6c6c;

    bool isAmong(std::string_view requestId, double share)
    {
        return static_cast<double>(stableHash(requestId, shareSeed) % shareSteps)
            < share * static_cast<double>(shareSteps);
    }

}

bool RolloutRouting::put(const StoredRollout& rollout, std::int64_t unixNow, TimePoint now)
{
    const PoolId& pool = rollout.order.pool;
    const auto found = m_known.find(pool);
    if (found != m_known.end() && found->second.stored.revision >= rollout.revision)
        return false;
    const bool isNewOrder = found == m_known.end() || found->second.stored.order != rollout.order
        || (found->second.stored.isEnded() && !rollout.status);
    if (isNewOrder) {
        if (found != m_known.end() && !found->second.stored.isEnded()
            && found->second.stored.order.target != rollout.order.target)
            bar(pool, found->second.stored.order.target, { now + m_options.strictTime, true });
        // A new order gives a version that was reverted or replaced another trial.
        m_barred.erase({ pool, rollout.order.target });
        Known known { .seenAt = now };
        if (rollout.status)
            known.elapsedWhenSeen = std::clamp(Milliseconds(unixNow - rollout.status->startedAt), Milliseconds(0),
                std::max(rollout.order.timeLimit, Milliseconds(0)));
        m_known[pool] = known;
    }
    Known& known = m_known[pool];
    // Final states stay, whatever a write that takes effect late or an older copy of the store says.
    if (!isNewOrder && known.stored.isEnded()) {
        known.stored.revision = rollout.revision;
        known.isStoreBehind = rollout.status != known.stored.status;
        return false;
    }
    known.stored = rollout;
    if (rollout.isShifting() && !known.shiftSeenAt)
        known.shiftSeenAt = now;
    if (!rollout.isEnded())
        return true;
    known.fault.reset();
    if (rollout.status->state == RolloutState::Reverted)
        bar(pool, rollout.order.target, { now + m_options.strictTime });
    for (const SoftwareVersion& version : rollout.status->replaced) {
        if (rollout.status->state == RolloutState::Completed && version != rollout.order.target)
            bar(pool, version, {});
    }
    return true;
}

void RolloutRouting::remove(const PoolId& pool, TimePoint now)
{
    const auto found = m_known.find(pool);
    if (found == m_known.end())
        return;
    if (!found->second.stored.isEnded())
        bar(pool, found->second.stored.order.target, { now + m_options.strictTime, true });
    for (auto& [version, barred] : m_barred) {
        if (version.first == pool)
            barred.isForgotten = true;
    }
    m_known.erase(found);
}

void RolloutRouting::bar(const PoolId& pool, const SoftwareVersion& version, Barred barred)
{
    m_barred[{ pool, version }] = barred;
}

bool RolloutRouting::recordFault(const RolloutOrder& order, const std::string& reason)
{
    const auto found = m_known.find(order.pool);
    if (found == m_known.end() || found->second.stored.order != order || found->second.stored.isEnded()
        || found->second.fault)
        return false;
    found->second.fault = reason;
    return true;
}

const RolloutRouting::Known* RolloutRouting::inProgress(const PoolId& pool) const
{
    const auto found = m_known.find(pool);
    return found == m_known.end() || found->second.stored.isEnded() || found->second.fault ? nullptr
                                                                                           : &found->second;
}

bool RolloutRouting::isAnyInProgress() const
{
    return std::any_of(
        m_known.begin(), m_known.end(), [](const auto& known) { return !known.second.stored.isEnded(); });
}

double RolloutRouting::targetShare(const Known& known, TimePoint now) const
{
    if (!known.shiftSeenAt)
        return m_options.exposureShare * m_options.trialPart;
    return now < *known.shiftSeenAt + m_options.rampTime ? m_options.rampShare : 1;
}

VersionChoice RolloutRouting::choiceFor(
    const PoolId& pool, std::string_view requestId, bool isRepeat, TimePoint now) const
{
    const Known* known = inProgress(pool);
    if (!known)
        return VersionChoice::Any;
    const double share = targetShare(*known, now);
    if (share >= 1)
        return VersionChoice::TargetOnly;
    // The repeat of a request whose first server failed it is no trial.
    return !isRepeat && isAmong(requestId, share) ? VersionChoice::TargetFirst : VersionChoice::ReplacedOnly;
}

bool RolloutRouting::isTarget(const PoolId& pool, const SoftwareVersion& version) const
{
    const auto found = m_known.find(pool);
    return found != m_known.end() && found->second.stored.order.target == version;
}

std::vector<const KnownServer*> RolloutRouting::select(
    std::vector<const KnownServer*> servers, const PoolId& pool, VersionChoice choice) const
{
    if (choice == VersionChoice::Any)
        return servers;
    const auto isOfTarget
        = [&](const KnownServer* known) { return isTarget(pool, known->server.softwareVersion); };
    const auto targetsEnd = std::stable_partition(servers.begin(), servers.end(), isOfTarget);
    // The order may name the version in force. Once versions that it replaces are recorded, the target waits for its turn.
    const auto known = m_known.find(pool);
    const bool replacesNone
        = known == m_known.end() || !known->second.stored.status || known->second.stored.status->replaced.empty();
    if (choice == VersionChoice::ReplacedOnly && targetsEnd == servers.end() && replacesNone)
        return servers;
    if (choice == VersionChoice::ReplacedOnly)
        servers.erase(servers.begin(), targetsEnd);
    else if (choice == VersionChoice::TargetOnly && targetsEnd != servers.begin())
        servers.erase(targetsEnd, servers.end());
    return servers;
}

std::set<BackendServerId> RolloutRouting::unusedTrialServers(
    const Known& known, const std::vector<const KnownServer*>& servers) const
{
    std::vector<std::pair<std::uint64_t, BackendServerId>> targets;
    std::size_t replaced = 0;
    for (const KnownServer* server : servers) {
        if (server->server.softwareVersion == known.stored.order.target)
            targets.emplace_back(stableHash(server->server.id.value(), shareSeed), server->server.id);
        else
            ++replaced;
    }
    // No other version is there to go on with.
    if (replaced == 0)
        return {};
    const double share = m_options.exposureShare * m_options.trialPart;
    const auto used = std::max<std::size_t>(
        static_cast<std::size_t>(share * static_cast<double>(replaced) / m_options.trialLoad), 2);
    std::sort(targets.begin(), targets.end());
    std::set<BackendServerId> unused;
    for (std::size_t index = used; index < targets.size(); ++index)
        unused.insert(targets[index].second);
    return unused;
}

std::set<BackendServerId> RolloutRouting::excludedServers(
    const ServerDirectory& directory, const ServingConfig* config, TimePoint now) const
{
    if (m_known.empty() && m_barred.empty())
        return {};
    std::map<PoolId, std::vector<const KnownServer*>> pools;
    for (const auto& [id, known] : directory.all()) {
        if (!known.server.isDraining)
            pools[known.server.pool].push_back(&known);
    }
    std::set<BackendServerId> excluded;
    for (const auto& [pool, servers] : pools) {
        const auto found = m_known.find(pool);
        const Known* order = found == m_known.end() || found->second.stored.isEnded() ? nullptr : &found->second;
        const Pool* definition = config ? config->findPool(pool) : nullptr;
        // Streams go on at the version that began them, so engines of replaced versions stay usable for these.
        const bool leavesReplaced = order && !order->fault && definition && !definition->engine
            && targetShare(*order, now) >= 1;
        std::set<BackendServerId> barred;
        bool isStrict = false;
        for (const KnownServer* server : servers) {
            const SoftwareVersion& version = server->server.softwareVersion;
            const auto bar = m_barred.find({ pool, version });
            const bool isBarred = bar != m_barred.end() && (!bar->second.isForgotten || now < bar->second.strictUntil);
            const bool isFaulty = order && order->fault && version == order->stored.order.target;
            const bool isLeft = leavesReplaced && version != order->stored.order.target;
            isStrict = isStrict || isFaulty || (isBarred && now < bar->second.strictUntil);
            if (isBarred || isFaulty || isLeft)
                barred.insert(server->server.id);
        }
        if (isStrict || barred.size() < servers.size())
            excluded.merge(barred);
        if (order && !order->fault && !order->shiftSeenAt)
            excluded.merge(unusedTrialServers(*order, servers));
    }
    return excluded;
}

bool RolloutRouting::mayCall(const PoolId& pool, const SoftwareVersion& version, TimePoint now) const
{
    const Known* known = inProgress(pool);
    if (!known || known->stored.order.target != version)
        return true;
    const double share = targetShare(*known, now);
    return share >= 1
        || static_cast<double>(known->targetCalls + 1) <= share * static_cast<double>(known->calls + 1);
}

void RolloutRouting::onCalled(const PoolId& pool, const SoftwareVersion& version)
{
    const auto found = m_known.find(pool);
    if (found == m_known.end())
        return;
    ++found->second.calls;
    if (found->second.stored.order.target == version)
        ++found->second.targetCalls;
}

}
