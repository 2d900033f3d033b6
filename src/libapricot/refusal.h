#pragma once

#include "libapricot/clock.h"

#include <string>
#include <string_view>

namespace Apricot {

// Why a request is answered without a result.
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

// What is known to have run for the request's key, on any attempt and any host.
enum class RanState {
    NotRun,
    RanInPart,
    Unknown,
};

// A final answer that is no result. A zero retryAfter means that asking again can't help.
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RanState ran = RanState::Unknown;
    Milliseconds retryAfter { 0 };
    std::string detail;

    auto operator<=>(const Refusal&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(reason, ran, retryAfter, detail); }
};

// Names used in answers to callers, such as "overloaded" and "not_run".
std::string_view refusalReasonName(RefusalReason reason);
std::string_view ranStateName(RanState state);
// Whether the reason concerns only the host that refused, so that another may well take the request.
bool isAboutHost(RefusalReason reason);
// HTTP status that goes with the reason.
int httpStatusOf(RefusalReason reason);

}
