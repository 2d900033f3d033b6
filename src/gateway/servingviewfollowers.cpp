#include "gateway/servingviewupdater.h"

#include "libnet/log.h"
#include "platform/names.h"

#include <boost/json/object.hpp>

// What the followers of the store report, and to whom.

namespace Apricot {

namespace json = boost::json;

StoreFollower ServingViewUpdater::makeFollower(StoreFollowerOptions options,
    std::function<void(const PlatformList&)> onListed,
    std::function<void(const PlatformEvent&)> onChanged)
{
    const std::string prefix = options.prefix;
    StoreFollower::Handlers handlers { .onListed = std::move(onListed), .onChanged = std::move(onChanged) };
    handlers.onLost = [this, prefix](const std::string& reason) {
        if (isStoreAway())
            m_view.servers().onStoreLost(RuntimeClock::now());
        writeLog(LogLevel::Warning, "store_lost",
            { { "kind", prefix }, { "reason", reason }, { "age_ms", ageOf(prefix) } });
        startOtherFollowers();
    };
    handlers.onRegained = [this, prefix] {
        if (!isStoreAway())
            m_view.servers().onStoreRegained(RuntimeClock::now());
        writeLog(LogLevel::Info, "store_regained", { { "kind", prefix } });
    };
    handlers.onRejected = [prefix](std::size_t count) {
        writeLog(LogLevel::Warning, "store_objects_rejected", { { "kind", prefix }, { "objects", count } });
    };
    handlers.onRestored = [this, prefix](ObjectVersion lastRevision) { onStoreRestored(prefix, lastRevision); };
    handlers.onCall = [this, prefix](StoreCallReason reason) { m_calls.record(prefix, storeCallReasonName(reason)); };
    const auto forOthers = [this, prefix](const auto& action) {
        for (StoreFollower* follower : followers()) {
            if (follower->prefix() != prefix)
                action(*follower);
        }
    };
    handlers.onStoreRevision = [forOthers](ObjectVersion revision, TimePoint knownAt) {
        forOthers([=](StoreFollower& follower) { follower.onStoreRevision(revision, knownAt); });
    };
    handlers.onCallsLost = [forOthers](TimePoint sentBefore) {
        forOthers([=](StoreFollower& follower) { follower.abandonCallsBefore(sentBefore); });
    };
    handlers.onOverdue = [this, prefix] {
        writeLog(LogLevel::Warning, "view_overdue", { { "kind", prefix }, { "age_ms", ageOf(prefix) } });
    };
    handlers.onOverdueEnded = [prefix](Duration time) {
        writeLog(LogLevel::Info, "view_confirmed_again",
            { { "kind", prefix }, { "overdue_ms", std::chrono::ceil<Milliseconds>(time).count() } });
    };
    const bool isOfHosts = prefix == hostsPrefix;
    handlers.onApplied = [this, isOfHosts] {
        notifyChanged();
        if (isOfHosts)
            startOtherFollowers();
    };
    const bool isOfServers = prefix == PlatformNames::serversPrefix;
    const bool isOfConfig = prefix == PlatformNames::configurationPrefix;
    handlers.onConfirmed = [this, isOfServers, isOfConfig](TimePoint confirmedAt) {
        if (isOfServers)
            m_view.servers().confirm(confirmedAt);
        if (isOfConfig && m_configFollower.isConfirmed())
            m_view.confirmConfig(confirmedAt, m_configFollower.overdueAt());
        if (m_confirmedHandler)
            m_confirmedHandler();
    };
    return { m_context, m_store, m_probeState, std::move(options), std::move(handlers) };
}

json::value ServingViewUpdater::ageOf(const std::string& prefix)
{
    for (const StoreFollower* follower : followers()) {
        if (follower->prefix() == prefix && follower->isConfirmed())
            return millisecondsBetween(follower->confirmedAt(), RuntimeClock::now());
    }
    return nullptr;
}

}
