#pragma once

#include "libapricot/clock.h"

#include <string>
#include <string_view>

namespace Apricot {

// Reason why a request ends without a result.
enum class RefusalReason {
    MalformedRequest,
    UnknownPipeline,
    KeyReused,
    KeyExpired,
    Overloaded,
    OwnerLimit,
    DeadlineUnreachable,
    DeadlinePassed,
    NoEvidence,
    Stopping,
    PlatformUnavailable,
    Poisoned,
    BackendFailed,
    OutcomeUnknown,
};

// What is known to have run for the request's key, in any attempt on any host.
enum class RanState {
    NotRun,
    RanInPart,
    Unknown,
};

// Final response without a result. A zero retryAfter means that a retry can't succeed.
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RanState ran = RanState::Unknown;
    Milliseconds retryAfter { 0 };
    std::string detail;

    auto operator<=>(const Refusal&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(reason, ran, retryAfter, detail); }
};

// Names used in responses to callers, such as "overloaded" and "not_run".
std::string_view refusalReasonName(RefusalReason reason);
std::string_view ranStateName(RanState state);
// Whether the reason concerns only the host that refused, so that another host may accept the request.
bool isHostSpecific(RefusalReason reason);
// HTTP status of a response with this reason.
int httpStatusOf(RefusalReason reason);

}
