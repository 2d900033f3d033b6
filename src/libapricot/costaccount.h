#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/stagecall.h"

#include <map>

namespace Apricot {

// Sums of what attempts cost. Work is wasted when its result reached no caller: the loser of a hedge,
// a cancelled attempt, a late one.
struct CostTotal {
    Milliseconds busy { 0 };
    Milliseconds wasted { 0 };
    std::uint64_t tokens = 0;
    std::uint64_t attempts = 0;

    auto operator<=>(const CostTotal&) const = default;
};

// Costs by stage of each pipeline and by owner.
class CostAccount {
public:
    struct StageKey {
        PipelineId pipeline;
        std::string stage;

        auto operator<=>(const StageKey&) const = default;
    };

    // Counts an attempt that has ended, as wasted when its result was not used.
    void record(const CatalogueEntry& entry, const StageOutcome& outcome, bool used);
    // Moves a finished request's stages to waste, because its caller left or it came too late.
    void discard(const CatalogueEntry& entry, const std::vector<StageCost>& costs);

    const std::map<StageKey, CostTotal>& byStage() const { return m_byStage; }
    const std::map<OwnerId, CostTotal>& byOwner() const { return m_byOwner; }

private:
    std::map<StageKey, CostTotal> m_byStage;
    std::map<OwnerId, CostTotal> m_byOwner;
};

}
