#pragma once

#include "dispatch/limitservice.h"
#include "libapricot/admission.h"
#include "libapricot/costaccount.h"
#include "libapricot/loadrouter.h"

#include <boost/json/value.hpp>

namespace Apricot {

// Decides for the coordinator whether a request may run, and accounts for its time and cost. Combines
// the owners' limits, admission by predicted latency, and the cost account. Runs on one traffic thread.
class LoadControl {
public:
    LoadControl(LoadRouter& router, LimitService& limits, AdmissionOptions options = {});

    // Admits a request of the entry and counts it, or returns why it is refused. onRequestFinished()
    // must be called for every admitted request.
    std::optional<Refusal> admit(
        const CatalogueEntry& entry, const ControlView& view, TimePoint deadline, TimePoint now);
    // Records the end of an admitted request and the number of tokens that it used.
    void onRequestFinished(const CatalogueEntry& entry, int tokens, TimePoint now);
    // Records the outcome of an attempt. `elapsed` is the time since the attempt was started.
    void onAttemptEnded(const CatalogueEntry& entry, const StageOutcome& outcome, Duration elapsed,
        TimePoint now);

    const LatencyModel& latencies() const { return m_latencies; }
    // State dump: costs by stage and by owner, and the shares of the owners' limits.
    boost::json::value dump(TimePoint now) const;

private:
    LoadRouter& m_router;
    LimitService& m_limits;
    LatencyModel m_latencies;
    Admission m_admission;
    CostAccount m_costs;
};

// An admitted request. Its destructor calls LoadControl::onRequestFinished().
class AdmittedRequest {
public:
    AdmittedRequest(LoadControl& control, CatalogueEntry entry);
    ~AdmittedRequest();

    AdmittedRequest(const AdmittedRequest&) = delete;
    AdmittedRequest& operator=(const AdmittedRequest&) = delete;

    // Sets the number of tokens that the request has used so far.
    void setTokens(int tokens) { m_tokens = tokens; }

private:
    LoadControl& m_control;
    CatalogueEntry m_entry;
    int m_tokens = 0;
};

}
