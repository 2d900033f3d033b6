#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <optional>
#include <set>

namespace Apricot {

// The failure domains that are out of service according to the store. Those that an older copy of the store lacks stay
// out of service until they are removed or the settle time has passed.
class OutOfServiceDomains {
public:
    explicit OutOfServiceDomains(Milliseconds settleTime)
        : m_settleTime(settleTime)
    {
    }

    void setSettleTime(Milliseconds time) { m_settleTime = time; }
    // Reports that the store came back from an older copy.
    void onStoreRestored(TimePoint now) { m_restoredAt = now; }
    void replaceAll(std::set<FailureDomainId> listed, TimePoint now);
    void put(const FailureDomainId& domain);
    void remove(const FailureDomainId& domain);
    std::set<FailureDomainId> current(TimePoint now) const;

private:
    bool isSettling(TimePoint now) const;

    Milliseconds m_settleTime;
    std::optional<TimePoint> m_restoredAt;
    std::set<FailureDomainId> m_listed;
    // Domains that were out of service and that the older copy lacks.
    std::set<FailureDomainId> m_retained;
};

}
