#include "libserving/rollout/rolloutorder.h"

namespace Apricot {

const char* rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::InProgress:
        return "in_progress";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::Reverted:
        return "reverted";
    }
    return "unknown";
}

const char* rolloutPhaseName(RolloutPhase phase)
{
    return phase == RolloutPhase::Trial ? "trial" : "shift";
}

}
