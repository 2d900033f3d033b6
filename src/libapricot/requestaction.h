#pragma once

#include "libapricot/poisontable.h"
#include "libapricot/recordcopy.h"
#include "libapricot/refusal.h"

#include <variant>
#include <vector>

namespace Apricot {

// Put the copy on a follower, then call RequestRecord::onCopyStored() with its answer.
struct StoreCopyAction {
    RecordCopy copy;
    // Whether this process begins to run the request, and so takes it over from an earlier one.
    bool opening = false;

    auto operator<=>(const StoreCopyAction&) const = default;
};

// Claim a non-idempotent stage in the platform, then call RequestRecord::onClaimResponse().
struct ClaimAction {
    // Key of the request and number of the stage.
    std::string claimKey;
    RequestKey key;
    // Names this record of this process; the same token is granted the same claim again.
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
    bool alone = false;

    auto operator<=>(const StartAttemptAction&) const = default;
};

// Cancel an attempt downstream. Its later answers match no open attempt.
struct CancelAttemptAction {
    AttemptId attempt;

    auto operator<=>(const CancelAttemptAction&) const = default;
};

// Tell the other members of a fingerprint's crashes.
struct SharePoisonAction {
    PoisonNotice notice;

    auto operator<=>(const SharePoisonAction&) const = default;
};

// What a request's record asks of the process around it.
using RequestAction = std::variant<StoreCopyAction, ClaimAction, StartAttemptAction,
    CancelAttemptAction, SharePoisonAction>;
using RequestActions = std::vector<RequestAction>;

enum class ClaimResult {
    Granted,
    // Another token holds the claim.
    HeldByOther,
    // The platform gave no answer; the claim may or may not stand, and nothing was sent.
    Unavailable,
    // The key is too old to be claimed.
    Expired,
};

// Answer to a claim, with a time to come back where the platform is unavailable.
struct ClaimResponse {
    ClaimResult result = ClaimResult::Unavailable;
    Milliseconds retryAfter { 0 };

    auto operator<=>(const ClaimResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(result, retryAfter); }
};

}
