#pragma once

#include "libapricot/poisontable.h"
#include "libapricot/recordcopy.h"
#include "libapricot/refusal.h"

#include <variant>
#include <vector>

namespace Apricot {

// Store the copy on a follower, then call RequestRecord::onCopyStored() with the response.
struct StoreCopyAction {
    RecordCopy copy;
    // Whether this process starts to run the request, superseding an earlier coordinator.
    bool opening = false;

    auto operator<=>(const StoreCopyAction&) const = default;
};

// Claim a non-idempotent stage in the platform, then call RequestRecord::onClaimResponse().
struct ClaimAction {
    // "request key/stage index".
    std::string claimKey;
    RequestKey key;
    // Identifies this record of this process; a repeated claim with the same token is granted again.
    std::string token;

    auto operator<=>(const ClaimAction&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(claimKey, key, token); }
};

// Choose a backend server and send it an attempt.
struct StartAttemptAction {
    AttemptId attempt;
    StageSpec stage;
    std::string input;
    std::uint64_t resumeFrom = 0;
    Milliseconds budget { 0 };
    std::vector<BackendServerId> excluded;
    bool isExclusive = false;

    auto operator<=>(const StartAttemptAction&) const = default;
};

// Cancel an attempt at its home. Later responses for it match no open attempt and are dropped.
struct CancelAttemptAction {
    AttemptId attempt;

    auto operator<=>(const CancelAttemptAction&) const = default;
};

// Send a poison notice to the other members.
struct SendPoisonNoticeAction {
    PoisonNotice notice;

    auto operator<=>(const SendPoisonNoticeAction&) const = default;
};

// Action that a request record requires from the process that runs it.
using RequestAction = std::variant<StoreCopyAction, ClaimAction, StartAttemptAction,
    CancelAttemptAction, SendPoisonNoticeAction>;
using RequestActions = std::vector<RequestAction>;

enum class ClaimResult {
    Granted,
    // Another token holds the claim.
    HeldByOther,
    // No response from the platform. The claim may or may not be stored; the stage was not sent.
    Unavailable,
    // The key is older than keyLifetime.
    Expired,
};

// Response to a claim, with a retry delay if the platform is unavailable.
struct ClaimResponse {
    ClaimResult result = ClaimResult::Unavailable;
    Milliseconds retryAfter { 0 };

    auto operator<=>(const ClaimResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(result, retryAfter); }
};

}
