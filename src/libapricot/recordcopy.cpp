#include "libapricot/recordcopy.h"

#include "libapricot/rendezvous.h"

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

CopyResponse mergeResponses(const std::vector<CopyResponse>& answers)
{
    CopyResponse merged;
    for (const CopyResponse& answer : answers) {
        if (answer.running || merged.host.empty()) {
            merged.host = answer.host;
            merged.incarnation = answer.incarnation;
        }
        merged.superseded = merged.superseded || answer.superseded;
        merged.running = merged.running || answer.running;
        merged.complete = merged.complete || answer.complete;
        if (!answer.found)
            continue;
        if (!merged.found)
            merged.copy = answer.copy;
        else if (merged.copy.hasSameBody(answer.copy))
            merged.copy.mergeFrom(answer.copy);
        merged.found = true;
    }
    return merged;
}

Fingerprint fingerprintOf(const PipelineId& pipeline, const std::string& input)
{
    return stableHash(input, stableHash(pipeline.value()));
}

}
