#include "libapricot/costaccount.h"

namespace Apricot {

void CostAccount::record(const CatalogueEntry& entry, const StageOutcome& outcome, bool used)
{
    if (!outcome.sent || outcome.attempt.stage >= entry.stages.size())
        return;
    const auto add = [&outcome, used](CostTotal& total) {
        (used ? total.busy : total.wasted) += outcome.busy;
        total.tokens += outcome.tokens;
        ++total.attempts;
    };
    add(m_byStage[{ entry.name, entry.stages[outcome.attempt.stage].name }]);
    add(m_byOwner[entry.owner]);
}

void CostAccount::discard(const CatalogueEntry& entry, const std::vector<StageCost>& costs)
{
    const auto moveToWasted = [](CostTotal& total, Milliseconds busy) {
        total.busy -= busy;
        total.wasted += busy;
    };
    for (const StageCost& cost : costs) {
        moveToWasted(m_byStage[{ entry.name, cost.stage }], cost.busy);
        moveToWasted(m_byOwner[entry.owner], cost.busy);
    }
}

}
