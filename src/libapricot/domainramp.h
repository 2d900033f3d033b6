#pragma once

#include "libapricot/catalogue.h"

#include <map>
#include <optional>

namespace Apricot {

// Raises the cap of servers that operators return to service gradually from the cold cap to the
// warm cap, so that a returning failure domain does not receive its full share of the work at once.
class DomainRamp {
public:
    static constexpr Milliseconds rampTime { 10000 };

    // Updates the state of all servers from a catalogue snapshot. A version that was already seen
    // is ignored.
    void update(const Catalogue& catalogue, TimePoint now);
    // Current cap by which the server is weighted.
    double currentCap(const BackendServer& server, TimePoint now) const;

private:
    struct ServiceHistory {
        bool inService = true;
        std::optional<TimePoint> returnedAt;
    };

    ObjectVersion m_version = 0;
    std::map<BackendServerId, ServiceHistory> m_histories;
};

}
