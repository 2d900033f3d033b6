#pragma once

#include "libapricot/poisontable.h"
#include "libapricot/recordcopy.h"
#include "libapricot/requestaction.h"

namespace Apricot {

// Coordinator to follower: stores a copy and requests the state that the follower has for its key.
struct StoreCopyMessage {
    RecordCopy copy;
    // Whether the coordinator is starting to run the request.
    bool opening = false;

    template <typename Archive>
    void serialize(Archive& archive) { archive(copy, opening); }
};

struct CopyResponseMessage {
    CopyResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// Coordinator to claim home: claims a key for a token before a non-idempotent stage is sent.
struct ClaimMessage {
    ClaimAction claim;
    // Time left until the claim is no longer useful.
    Milliseconds budget { 0 };

    template <typename Archive>
    void serialize(Archive& archive) { archive(claim, budget); }
};

struct ClaimResponseMessage {
    ClaimResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// To every member: findings about a request that may crash servers.
struct PoisonMessage {
    PoisonNotice notice;

    template <typename Archive>
    void serialize(Archive& archive) { archive(notice); }
};

}
