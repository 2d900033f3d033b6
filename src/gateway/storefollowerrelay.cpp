#include "gateway/storefollower.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

// What a follower exchanges with peers.

namespace Apricot {

namespace {

    // Time for the first response of peers that relay from now on.
    constexpr Milliseconds firstRelayTime { 1000 };
    // Additional age of relayed state for each step between a host and the hosts that read the store before it.
    constexpr Milliseconds relayTurn { 250 };

}

void StoreFollower::setRelayDepth(int depth)
{
    if (depth > 0 && !isRelayed())
        m_peersExpectedBy = RuntimeClock::now() + firstRelayTime;
    m_relayDepth = depth;
}

TimePoint StoreFollower::reliesOnPeersUntil() const
{
    if (!isRelayed() || m_mustList || m_mustReadStore)
        return {};
    // The hosts above are the first to find out that the store responds to them.
    const TimePoint outdatedAt = m_evidenceAt + maxAgeFromPeers();
    return m_isLost ? outdatedAt : std::max(outdatedAt, m_peersExpectedBy);
}

Milliseconds StoreFollower::maxAgeFromPeers() const
{
    return m_options.maxRelayedAge + (m_relayDepth - 1) * relayTurn;
}

StoreDelta StoreFollower::deltaSince(ObjectVersion revision, TimePoint now) const
{
    StoreDelta delta { .revision = m_revision,
        .age = std::chrono::ceil<Milliseconds>(now - m_evidenceAt),
        .isSnapshot = revision < m_removalsSince };
    if (revision >= m_revision)
        return delta;
    for (const auto& [key, object] : m_objects) {
        if (delta.isSnapshot || object.version > revision)
            delta.objects.push_back(object);
    }
    for (const Removal& removal : m_removals) {
        if (!delta.isSnapshot && removal.revision > revision && !m_objects.contains(removal.key))
            delta.removed.push_back(removal.key);
    }
    return delta;
}

StoreDelta StoreFollower::limitedDeltaSince(ObjectVersion revision, Milliseconds peerAge, TimePoint now) const
{
    StoreDelta delta = deltaSince(revision, now);
    // Kinds without a limit are not serialized only to be measured.
    if (delta.isSnapshot || m_options.maxRelayedBytes == std::numeric_limits<std::size_t>::max())
        return delta;
    std::vector<PlatformObject>& objects = delta.objects;
    std::sort(objects.begin(), objects.end(),
        [](const auto& left, const auto& right) { return left.version < right.version; });
    std::size_t bytes = 0;
    const auto firstLater = std::find_if(objects.begin(), objects.end(), [&](const PlatformObject& object) {
        // One object is sent whatever its size is.
        const bool isFirst = bytes == 0;
        bytes += object.key.size() + boost::json::serialize(object.value).size();
        return !isFirst && bytes > m_options.maxRelayedBytes;
    });
    if (firstLater == objects.end())
        return delta;
    objects.erase(firstLater, objects.end());
    delta.revision = objects.back().version;
    delta.age = peerAge;
    delta.isPartial = true;
    // Removals after the last of these objects belong to a later delta.
    delta.removed.clear();
    for (const Removal& removal : m_removals) {
        if (removal.revision > revision && removal.revision <= delta.revision && !m_objects.contains(removal.key))
            delta.removed.push_back(removal.key);
    }
    return delta;
}

bool StoreFollower::applyDelta(const StoreDelta& delta, TimePoint now)
{
    if (delta.revision < m_revision)
        return false;
    const bool isNew = delta.revision > m_revision;
    if (!delta.isPartial)
        recordPeerEvidence(delta.age, now);
    else if (isConfirmed())
        m_peersExpectedBy = now + m_options.maxRelayedAge;
    if (isNew && delta.isSnapshot) {
        applyList({ delta.revision, delta.objects });
    } else if (isNew) {
        const bool hasChanges = !delta.objects.empty() || !delta.removed.empty();
        for (const PlatformObject& object : delta.objects)
            applyEvent({ object.key, object.version, object.value, object.status });
        for (const std::string& key : delta.removed) {
            applyEvent({ key, delta.revision, std::nullopt });
            recordRemoval(key, delta.revision);
        }
        m_revision = delta.revision;
        if (hasChanges)
            notifyApplied();
    }
    if (m_revision > 0)
        m_mustList = false;
    // Wakes the requests of peers, whether the objects are confirmed or only newer.
    notifyConfirmed();
    return isNew;
}

void StoreFollower::recordEvidence(ObjectVersion revision, Milliseconds age, TimePoint now)
{
    if (revision == m_revision) {
        recordPeerEvidence(age, now);
        notifyConfirmed();
    } else if (revision > m_revision && isRelayed() && !m_mustReadStore) {
        m_mustReadStore = true;
        m_pauseTimer.cancel();
    }
}

void StoreFollower::recordPeerEvidence(Milliseconds age, TimePoint now)
{
    m_evidenceAt = std::max(m_evidenceAt, now - age);
    // A host that relies on its peers does not call the store, so it learns only from them that the store
    // is reachable again.
    if (isRelayed() && age < m_options.maxRelayedAge)
        endOutage();
}

}
