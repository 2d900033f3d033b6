#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/stagecall.h"

#include <map>

namespace Apricot {

// Total cost of attempts. Work is wasted if its result reached no caller, as for the slower attempt
// of a hedge, a cancelled attempt or a late one.
struct CostTotal {
    Milliseconds busy { 0 };
    Milliseconds wasted { 0 };
    std::uint64_t tokens = 0;
    std::uint64_t attempts = 0;

    auto operator<=>(const CostTotal&) const = default;
};

// Accumulates costs by pipeline stage and by owner.
class CostAccount {
public:
    struct StageKey {
        PipelineId pipeline;
        std::string stage;

        auto operator<=>(const StageKey&) const = default;
    };

    // Adds an ended attempt; its time counts as wasted if its result was not used.
    void record(const CatalogueEntry& entry, const StageOutcome& outcome, bool used);
    // Reclassifies the stages of a finished request as wasted, because its caller disconnected or the
    // result was late.
    void discard(const CatalogueEntry& entry, const std::vector<StageCost>& costs);

    const std::map<StageKey, CostTotal>& byStage() const { return m_byStage; }
    const std::map<OwnerId, CostTotal>& byOwner() const { return m_byOwner; }

private:
    std::map<StageKey, CostTotal> m_byStage;
    std::map<OwnerId, CostTotal> m_byOwner;
};

}
