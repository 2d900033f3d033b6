#pragma once

#include "libapricot/clock.h"
#include "libserving/streamorigin.h"

#include <string>

// Messages between hosts about the origins of streams, as JSON texts. The readers throw std::exception for any
// other text.
namespace Apricot {

// Host that began a stream, to a host that holds its origin.
struct StreamNotice {
    StreamKey key;
    StreamOrigin origin;
    Milliseconds timeToLive { 0 };

    auto operator<=>(const StreamNotice&) const = default;
};

// Host at which a caller resumes a stream, to a host that may know its origin.
struct OriginQuestion {
    StreamKey key;
    // The pool that would serve the resumed stream, and how long ago the stream may have begun.
    PoolId pool;
    Milliseconds resumptionTime { 0 };

    auto operator<=>(const OriginQuestion&) const = default;
};

std::string toJson(const StreamNotice& notice);
StreamNotice readStreamNotice(const std::string& text);
std::string toJson(const OriginQuestion& question);
OriginQuestion readOriginQuestion(const std::string& text);
std::string toJson(const OriginKnowledge& knowledge);
OriginKnowledge readOriginKnowledge(const std::string& text);

}
