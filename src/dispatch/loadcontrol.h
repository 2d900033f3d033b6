#pragma once

#include "dispatch/limitservice.h"
#include "libapricot/admission.h"
#include "libapricot/costaccount.h"
#include "libapricot/loadrouter.h"

#include <boost/json/value.hpp>

namespace Apricot {

// What the coordinator asks about load: whether a request may run, and where its time and cost went.
// Joins the owners' limits, the prediction of deadlines and the accounts. Works on one traffic thread.
class LoadControl {
public:
    LoadControl(LoadRouter& router, LimitService& limits, AdmissionOptions options = {});

    // Counts a new request of the entry, or says why it may not run. Every admitted request must be
    // ended by onRequestFinished().
    std::optional<Refusal> admit(
        const CatalogueEntry& entry, const ControlView& view, TimePoint deadline, TimePoint now);
    // Counts the end of an admitted request that took so many tokens.
    void onRequestFinished(const CatalogueEntry& entry, int tokens, TimePoint now);
    // Takes in an attempt that ended so long after it was asked for.
    void onAttemptEnded(const CatalogueEntry& entry, const StageOutcome& outcome, Duration elapsed,
        TimePoint now);

    const LatencyModel& latencies() const { return m_latencies; }
    // Costs by stage and owner, and the shares of the owners' limits.
    boost::json::value dump(TimePoint now) const;

private:
    LoadRouter& m_router;
    LimitService& m_limits;
    LatencyModel m_latencies;
    Admission m_admission;
    CostAccount m_costs;
};

// An admitted request. Counts its end when it is destroyed.
class AdmittedRequest {
public:
    AdmittedRequest(LoadControl& control, CatalogueEntry entry);
    ~AdmittedRequest();

    AdmittedRequest(const AdmittedRequest&) = delete;
    AdmittedRequest& operator=(const AdmittedRequest&) = delete;

    // Tokens that the request took so far.
    void setTokens(int tokens) { m_tokens = tokens; }

private:
    LoadControl& m_control;
    CatalogueEntry m_entry;
    int m_tokens = 0;
};

}
