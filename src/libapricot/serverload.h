#pragma once

#include "libapricot/decay.h"
#include "libapricot/stagecall.h"

#include <optional>

namespace Apricot {

// Estimated load of one backend server, from the last report of its home, which decays with age, and
// the coordinator's own attempts that have not ended.
class ServerLoad {
public:
    static constexpr Milliseconds reportHalfLife { 1000 };
    // Attempts whose end is never reported decay with this half-life.
    static constexpr Milliseconds pendingHalfLife { 5000 };

    // An attempt is about to be sent to the server.
    void onAttemptChosen(TimePoint now);
    // An attempt ended; applies the load and cap that its outcome contains.
    void onAttemptEnded(const StageOutcome& outcome, TimePoint now);

    // Estimated number of attempts on the server.
    double load(TimePoint now) const;
    // Maximum number of concurrent attempts on the server; unreportedCap until its home has reported a
    // cap.
    double cap(int unreportedCap) const;
    // Whether the retry delay of a rejected attempt has not ended yet.
    bool isBackingOff(TimePoint now) const { return now < m_backOffUntil; }
    // Mean busy time of finished attempts in milliseconds, or nothing if none has finished.
    std::optional<double> meanBusy() const;

private:
    double pendingAttempts(TimePoint now) const;

    double m_reportedLoad = 0;
    int m_reportedCap = 0;
    TimePoint m_reportedAt {};
    double m_pendingAttempts = 0;
    TimePoint m_pendingAt {};
    TimePoint m_backOffUntil {};
    DecayingMean m_busyMilliseconds;
};

}
