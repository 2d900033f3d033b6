#pragma once

#include "libapricot/controlview.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Apricot {

// Chooses the backend server for each attempt of a stage, taking earlier outcomes into account.
class AttemptRouter {
public:
    virtual ~AttemptRouter() = default;

    // Returns the server for the next attempt, or nothing if no server of the stage's pool is eligible.
    // The excluded servers are those that the request has already tried.
    virtual std::optional<BackendServerId> choose(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, const std::vector<BackendServerId>& excluded, TimePoint now)
        = 0;
    // Like choose(), but may prefer a server that has the prefix of the input in its cache.
    virtual std::optional<BackendServerId> chooseForInput(const ControlView& view,
        const StageSpec& stage, const RequestKey& key, std::string_view /*input*/,
        const std::vector<BackendServerId>& excluded, TimePoint now)
    {
        return choose(view, stage, key, excluded, now);
    }
    // Records the outcome of an attempt on a server.
    virtual void recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
        = 0;
};

}
