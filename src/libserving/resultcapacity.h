#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"
#include "libserving/servingconfig.h"

#include <map>
#include <optional>
#include <string>

namespace Apricot {

struct ResultCapacityOptions {
    // Share of a server's capacity that may be planned. Below 1 because result sizes are approximate.
    double plannableShare = 0.9;
    // Results are assumed to be larger than stated by a factor that grows with each call that found its
    // server full and decays slowly with each other call.
    double sizeFactorGrowth = 1.02;
    double sizeFactorDecay = 0.995;
    double maxSizeFactor = 1.25;
    // Weight of the newest result in the moving average of the time that results are held.
    double holdTimeWeight = 0.03;
};

// Tracks the result capacity of a group's stage servers: the bytes used by this host's calls and an
// estimate of the bytes used by other hosts, such as the previous home of the group. A result uses capacity
// from the start of its call until it is released or its lifetime ends.
class ResultCapacity {
public:
    explicit ResultCapacity(const StageTraits& traits, ResultCapacityOptions options = {});

    void setTraits(const StageTraits& traits);

    // Reserves capacity when the call that makes a result starts.
    void reserve(const BackendServerId& server, double bytes);
    // Frees reserved capacity when the call ended without the result.
    void cancelReservation(const BackendServerId& server, double bytes);
    // Adds a result whose capacity was reserved when its call started.
    void addResult(const std::string& handle, const BackendServerId& server, double bytes,
        TimePoint startedAt, TimePoint now);
    void release(const std::string& handle, TimePoint now);
    // Frees the capacity of results whose lifetime has ended.
    void expire(TimePoint now);

    // Reports whether a call found its server full. In that case all capacity that this host does not use
    // is assumed to hold results of other homes, which are released at the same rate as this host's own.
    void onCallEnded(const BackendServerId& server, bool wasFull, TimePoint now);

    // Capacity that may be planned for new results; can be negative.
    double freeBytes(const BackendServerId& server, TimePoint now) const;
    double usedBytes(const BackendServerId& server) const;
    // Estimated time until `bytes` become free on `serverCount` full servers, from the mean time that
    // results are held.
    Milliseconds timeUntilFree(double bytes, std::size_t serverCount) const;
    // The server that holds a result, unless the result was released or expired.
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
    // Moving average of the time from the start of a result's call to its release.
    double m_meanHoldMilliseconds = 0;
};

}
