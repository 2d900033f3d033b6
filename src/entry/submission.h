#pragma once

#include "libapricot/controlview.h"
#include "libapricot/refusal.h"
#include "libnet/httpserver.h"
#include "libnet/messages.h"

#include <stdexcept>

namespace Apricot {

// Thrown if a caller's request is rejected. No part of this submission has run.
class SubmissionError : public std::runtime_error {
public:
    SubmissionError(RefusalReason reason, const std::string& detail)
        : std::runtime_error(detail)
        , m_reason(reason)
    {
    }

    RefusalReason reason() const { return m_reason; }

private:
    RefusalReason m_reason;
};

// Name of the pipeline in a path /v1/pipelines/NAME/requests, or an empty string.
std::string pipelineOfPath(const std::string& path);

// Checks a caller's request against the catalogue and converts it to the message for the coordinator.
// A missing Idempotency-Key is replaced by a new version 7 UUID. Throws SubmissionError.
SubmitMessage parseSubmission(const HttpRequest& request, const Catalogue& catalogue);

}
