#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"
#include "libserving/servingconfig.h"

#include <map>
#include <optional>
#include <string>

namespace Apricot {

struct ResultCapacityOptions {
    // Part of a server's room that is planned with; sizes of results are approximate.
    double plannableShare = 0.9;
    // Results are taken to be larger than stated by a factor that rises with each call in which a server
    // found no room, and falls back slowly with the others.
    double sizeFactorGrowth = 1.02;
    double sizeFactorDecay = 0.995;
    double maxSizeFactor = 1.25;
    // Weight of the newest result in the average of how long room is held.
    double holdTimeWeight = 0.03;
};

// Room for results on a group's stage servers: what this host's calls take up, and what others have
// there, such as the home before this one. Results take up room from the start of their call until they are released or
// their lifetime ends.
class ResultCapacity {
public:
    explicit ResultCapacity(const StageTraits& traits, ResultCapacityOptions options = {});

    void setTraits(const StageTraits& traits);

    // A call that will make a result has begun, or has ended without it.
    void reserve(const BackendServerId& server, double bytes);
    void cancelReservation(const BackendServerId& server, double bytes);
    // A result exists for which room was reserved when its call began.
    void addResult(const std::string& handle, const BackendServerId& server, double bytes,
        TimePoint startedAt, TimePoint now);
    void release(const std::string& handle, TimePoint now);
    // Frees the room of results whose lifetime has passed.
    void expire(TimePoint now);

    // Learns from a call whether its server was full. What is taken and not ours belongs to results of
    // other homes, and becomes free as ours do.
    void onCallEnded(const BackendServerId& server, bool wasFull, TimePoint now);

    // Room that may be planned with.
    double freeBytes(const BackendServerId& server, TimePoint now) const;
    double usedBytes(const BackendServerId& server) const;
    // How long until so many bytes become free on so many servers that are full, from how long results
    // were held of late.
    Milliseconds timeUntilFree(double bytes, std::size_t serverCount) const;
    std::optional<BackendServerId> serverOf(const std::string& handle) const;

private:
    struct Result {
        BackendServerId server;
        double bytes = 0;
        TimePoint startedAt {};
        TimePoint expiresAt {};
    };
    struct ForeignUsage {
        double bytes = 0;
        TimePoint observedAt {};
    };

    double foreignBytes(const BackendServerId& server, TimePoint now) const;

    ResultCapacityOptions m_options;
    double m_capacityBytes = 0;
    Milliseconds m_resultLifetime { 0 };
    double m_sizeFactor = 1;
    std::map<BackendServerId, double> m_usedBytes;
    std::map<BackendServerId, ForeignUsage> m_foreignUsage;
    std::map<std::string, Result> m_results;
    // Average time from the start of a result's call to its release.
    double m_meanHoldMilliseconds = 0;
};

}
