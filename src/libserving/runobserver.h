#pragma once

#include "libserving/crashdetector.h"

namespace Apricot {

// Is notified of how runs at backend servers end.
class RunObserver {
public:
    virtual ~RunObserver() = default;

    virtual void onRunEnded(const EndedRun& run) = 0;
    // A request and the shared parts of its prompt, or one of its stages, have finished; see ServerCrash::stage.
    virtual void onFinished(const std::vector<PoisonSubject>& subjects, int stage) = 0;
};

}
