#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Refusal as received by the caller.
struct ReceivedRefusal {
    std::string reason;
    std::string ran;
    Milliseconds retryAfter { 0 };
};

// Parses the event stream of one response and checks that it is complete: every token index once
// and in order, and a final done event with the number of tokens.
class ResponseReader {
public:
    // Parses a chunk of the stream. Returns the number of new tokens in it.
    int feed(std::string_view chunk);

    bool isComplete() const { return m_done && m_gapCount == 0 && m_duplicateCount == 0; }
    bool isDone() const { return m_done; }
    const std::optional<ReceivedRefusal>& refusal() const { return m_refusal; }
    const std::vector<std::string>& tokens() const { return m_tokens; }
    const std::vector<StageCost>& costs() const { return m_costs; }
    int duplicateCount() const { return m_duplicateCount; }
    int gapCount() const { return m_gapCount; }

private:
    void handleEvent(std::string_view event);
    void handleToken(std::string_view data);
    void handleDone(std::string_view data);

    std::string m_buffer;
    std::vector<std::string> m_tokens;
    std::vector<StageCost> m_costs;
    std::optional<ReceivedRefusal> m_refusal;
    bool m_done = false;
    int m_duplicateCount = 0;
    int m_gapCount = 0;
};

// Parses the refusal object in the JSON body of a response.
ReceivedRefusal parseRefusal(std::string_view json);

// Tokens that the backend emulators produce for an input after all stages of a pipeline.
std::vector<std::string> expectedTokens(const CatalogueEntry& entry, const std::string& input);

}
