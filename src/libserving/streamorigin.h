#pragma once

#include "libapricot/identifier.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Identifies a stream over the attempts of its caller. IDs are chosen by callers, so one owner's are kept apart
// from another's.
struct StreamKey {
    OwnerId owner;
    // ID of the attempt that brought the first event.
    std::string requestId;

    auto operator<=>(const StreamKey&) const = default;
};

// Whether an ID that a caller chose is short and printable enough to be recorded.
bool isRecordableRequestId(std::string_view id);

// The software that began a stream.
struct StreamOrigin {
    PoolId pool;
    // Empty if it is not known.
    SoftwareVersion version;

    auto operator<=>(const StreamOrigin&) const = default;
};

// What one host knows about the origin of a stream.
struct OriginKnowledge {
    // Recorded when the stream began.
    std::optional<StreamOrigin> recorded;
    // The only version of the pool's servers for as long as a stream can last, if this host knows that and
    // routes have led to the same pools all the while.
    std::optional<SoftwareVersion> soleVersion;
    // The pool's servers had several versions within that time.
    bool hasSeveralVersions = false;

    auto operator<=>(const OriginKnowledge&) const = default;
};

// The origin of a stream that a caller resumes, or nothing if it is not certain. `peers` are the responses of
// other hosts. Without a record, the pool's only version is its origin, unless a host that could have begun it
// has a record that this host can't read: if there are other hosts, one of them has to respond.
std::optional<StreamOrigin> findOrigin(const PoolId& pool, const OriginKnowledge& own,
    const std::vector<OriginKnowledge>& peers, bool hasOtherHosts);

}
