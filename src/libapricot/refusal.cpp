#include "libapricot/refusal.h"

namespace Apricot {

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MalformedRequest:
        return "malformed_request";
    case RefusalReason::UnknownPipeline:
        return "unknown_pipeline";
    case RefusalReason::KeyReused:
        return "key_reused";
    case RefusalReason::KeyExpired:
        return "key_expired";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::OwnerLimit:
        return "owner_limit";
    case RefusalReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::NoEvidence:
        return "no_evidence";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::PlatformUnavailable:
        return "platform_unavailable";
    case RefusalReason::Poisoned:
        return "poisoned";
    case RefusalReason::BackendFailed:
        return "backend_failed";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "unknown";
}

std::string_view ranStateName(RanState state)
{
    switch (state) {
    case RanState::NotRun:
        return "not_run";
    case RanState::RanInPart:
        return "ran_in_part";
    case RanState::Unknown:
        return "unknown";
    }
    return "unknown";
}

bool isHostSpecific(RefusalReason reason)
{
    return reason == RefusalReason::NoEvidence || reason == RefusalReason::Stopping;
}

int httpStatusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MalformedRequest:
        return 400;
    case RefusalReason::UnknownPipeline:
        return 404;
    case RefusalReason::KeyReused:
        return 409;
    case RefusalReason::KeyExpired:
        return 410;
    case RefusalReason::OwnerLimit:
        return 429;
    case RefusalReason::Poisoned:
        return 422;
    case RefusalReason::DeadlinePassed:
        return 504;
    case RefusalReason::BackendFailed:
    case RefusalReason::OutcomeUnknown:
        return 502;
    default:
        return 503;
    }
}

}
