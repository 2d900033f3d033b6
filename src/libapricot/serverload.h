#pragma once

#include "libapricot/decay.h"
#include "libapricot/stagecall.h"

#include <optional>

namespace Apricot {

// What a coordinator knows of one backend server's load: the last report of its home, which counts
// less as it ages, and the attempts that it sent there itself since.
class ServerLoad {
public:
    static constexpr Milliseconds reportHalfLife { 1000 };
    // An attempt whose end is never reported is forgotten at this pace.
    static constexpr Milliseconds pendingHalfLife { 5000 };

    // Counts an attempt that leaves for the server now.
    void onAttemptChosen(TimePoint now);
    // Takes over the load and cap that the attempt's outcome carries.
    void onAttemptEnded(const StageOutcome& outcome, TimePoint now);

    // Estimated number of attempts on the server.
    double load(TimePoint now) const;
    // Number that the server may carry; the given one until a home has reported another.
    double cap(int unreportedCap) const;
    // The home turned an attempt away and asked for this instant at the earliest.
    bool isBackingOff(TimePoint now) const { return now < m_backOffUntil; }
    // Mean busy time of finished attempts in milliseconds, or nothing while none has finished.
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
