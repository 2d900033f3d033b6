#pragma once

#include "libapricot/controlview.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Apricot {

// Chooses the backend server for each attempt of a stage and learns from how attempts end.
class AttemptRouter {
public:
    virtual ~AttemptRouter() = default;

    // The server for the next attempt, or nothing when no server of the stage's pool may take it.
    // Servers that the request has tried already are named as excluded.
    virtual std::optional<BackendServerId> choose(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, const std::vector<BackendServerId>& excluded, TimePoint now)
        = 0;
    // As choose(), for an attempt whose input is known, so that a server that holds the input's prefix
    // in its cache can be preferred.
    virtual std::optional<BackendServerId> chooseForInput(const ControlView& view,
        const StageSpec& stage, const RequestKey& key, std::string_view /*input*/,
        const std::vector<BackendServerId>& excluded, TimePoint now)
    {
        return choose(view, stage, key, excluded, now);
    }
    // Tells the router how an attempt on a server ended.
    virtual void recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
        = 0;
};

}
