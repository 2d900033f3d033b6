#pragma once

#include "libapricot/catalogue.h"

#include <map>
#include <optional>

namespace Apricot {

// Lets the work for servers that operators bring back into service rise from their cold caps to their
// warm caps over a while, so that a returning failure domain isn't given its full share at once.
class DomainRamp {
public:
    static constexpr Milliseconds rampTime { 10000 };

    // Takes over a catalogue snapshot. Does nothing for a version that it has seen.
    void observe(const Catalogue& catalogue, TimePoint now);
    // Most attempts that the server is weighted for now.
    double capOf(const BackendServer& server, TimePoint now) const;

private:
    struct ServiceHistory {
        bool inService = true;
        std::optional<TimePoint> returnedAt;
    };

    ObjectVersion m_version = 0;
    std::map<BackendServerId, ServiceHistory> m_histories;
};

}
