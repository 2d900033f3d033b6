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

struct CopyResponseMessage {
    CopyResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// Coordinator to claim home: claim this key for this token before a non-idempotent stage is sent.
struct ClaimMessage {
    ClaimAction claim;
    // What is left until the claim is of no more use.
    Milliseconds budget { 0 };

    template <typename Archive>
    void serialize(Archive& archive) { archive(claim, budget); }
};

struct ClaimResponseMessage {
    ClaimResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// To every member: what was found out about a request that may crash servers.
struct PoisonMessage {
    PoisonNotice notice;

    template <typename Archive>
    void serialize(Archive& archive) { archive(notice); }
};

}
