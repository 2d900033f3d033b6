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
    double plannedPart = 0.9;
    // Results are taken to be larger than stated by a factor that rises with each call in which a server
    // found no room, and falls back slowly with the others.
    double factorRise = 1.02;
    double factorFall = 0.995;
    double largestFactor = 1.25;
    // Weight of the newest result in the average of how long room is held.
    double holdWeight = 0.03;
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
    void giveBack(const BackendServerId& server, double bytes);
    // A result exists for which room was reserved when its call began.
    void keep(const std::string& handle, const BackendServerId& server, double bytes,
        TimePoint begunAt, TimePoint now);
    void release(const std::string& handle, TimePoint now);
    // Frees the room of results whose lifetime has passed.
    void expire(TimePoint now);

    // Learns from a call whether its server was full. What is taken and not ours belongs to results of
    // other homes, and becomes free as ours do.
    void callEnded(const BackendServerId& server, bool hasFoundNoRoom, TimePoint now);

    // Room that may be planned with.
    double free(const BackendServerId& server, TimePoint now) const;
    double used(const BackendServerId& server) const;
    // How long until so many bytes become free on so many servers that are full, from how long results
    // were held of late.
    Milliseconds timeToFree(double bytes, std::size_t servers) const;
    std::optional<BackendServerId> serverOf(const std::string& handle) const;

private:
    struct Result {
        BackendServerId server;
        double bytes = 0;
        TimePoint begunAt {};
        TimePoint expiresAt {};
    };
    struct Others {
        double bytes = 0;
        TimePoint seenAt {};
    };

    double usedByOthers(const BackendServerId& server, TimePoint now) const;

    ResultCapacityOptions m_options;
    double m_roomBytes = 0;
    Milliseconds m_lifetime { 0 };
    double m_factor = 1;
    std::map<BackendServerId, double> m_used;
    std::map<BackendServerId, Others> m_others;
    std::map<std::string, Result> m_results;
    // Average time from the start of a result's call to its release.
    double m_holdMilliseconds = 0;
};

}
