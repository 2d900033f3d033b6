#include "libapricot/recordcopy.h"

#include <algorithm>

namespace Apricot {

bool RecordCopy::hasSameBody(const RecordCopy& other) const
{
    return pipeline == other.pipeline && input == other.input;
}

void RecordCopy::mergeFrom(const RecordCopy& other)
{
    maybeSent = maybeSent || other.maybeSent;
    nonIdempotentStarted = std::max(nonIdempotentStarted, other.nonIdempotentStarted);
    if (other.results.size() <= results.size() && !(other.finished && !finished))
        return;
    results = other.results;
    tokens = other.tokens;
    costs = other.costs;
    finished = other.finished;
}

std::size_t RecordCopy::sizeBytes() const
{
    std::size_t size = sizeof(RecordCopy) + key.value().size() + input.size();
    for (const StageResult& result : results)
        size += sizeof(StageResult) + result.text.size();
    for (const std::string& token : tokens)
        size += sizeof(std::string) + token.size();
    return size;
}

CopyResponse mergeResponses(const std::vector<CopyResponse>& responses)
{
    CopyResponse merged;
    for (const CopyResponse& response : responses) {
        if (response.running || merged.host.empty()) {
            merged.host = response.host;
            merged.incarnation = response.incarnation;
        }
        merged.superseded = merged.superseded || response.superseded;
        merged.running = merged.running || response.running;
        merged.complete = merged.complete || response.complete;
        if (!response.found)
            continue;
        if (!merged.found)
            merged.copy = response.copy;
        else if (merged.copy.hasSameBody(response.copy))
            merged.copy.mergeFrom(response.copy);
        merged.found = true;
    }
    return merged;
}

}
