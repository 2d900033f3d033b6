#pragma once

#include "libserving/crashdetector.h"

namespace Apricot {

// Is notified of how runs at backend servers end.
class RunObserver {
public:
    virtual ~RunObserver() = default;

    virtual void onRunEnded(const EndedRun& run) = 0;
    // A request, or one of its stages, has finished; see ServerCrash::stage.
    virtual void onFinished(Fingerprint fingerprint, int stage) = 0;
};

}
