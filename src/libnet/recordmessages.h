#pragma once

#include "libapricot/poisontable.h"
#include "libapricot/recordcopy.h"
#include "libapricot/requestaction.h"

namespace Apricot {

// Coordinator to follower: keep this copy and say what is known of its key.
struct StoreCopyMessage {
    RecordCopy copy;
    // Whether the coordinator begins to run the request.
    bool opening = false;

    template <typename Archive>
    void serialize(Archive& archive) { archive(copy, opening); }
};

struct CopyStoredMessage {
    CopyAnswer answer;

    template <typename Archive>
    void serialize(Archive& archive) { archive(answer); }
};

// Coordinator to claim home: claim this key for this token before a non-idempotent stage is sent.
struct ClaimMessage {
    ClaimAction claim;
    // What is left until the claim is of no more use.
    Milliseconds budget { 0 };

    template <typename Archive>
    void serialize(Archive& archive) { archive(claim, budget); }
};

struct ClaimedMessage {
    ClaimAnswer answer;

    template <typename Archive>
    void serialize(Archive& archive) { archive(answer); }
};

// To every member: what was found out about a request that may crash servers.
struct PoisonMessage {
    PoisonNotice notice;

    template <typename Archive>
    void serialize(Archive& archive) { archive(notice); }
};

}
