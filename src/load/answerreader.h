#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// A refusal as its caller reads it.
struct RefusalSeen {
    std::string reason;
    std::string ran;
    Milliseconds retryAfter { 0 };
};

// Reads the event stream of one answer and checks that it is whole: every index once and in order,
// and a last mark that names their number.
class AnswerReader {
public:
    // Takes in a piece of the stream. Returns the number of new tokens in it.
    int feed(std::string_view piece);

    bool isWhole() const { return m_done && m_gaps == 0 && m_doubled == 0; }
    bool isDone() const { return m_done; }
    const std::optional<RefusalSeen>& refusal() const { return m_refusal; }
    const std::vector<std::string>& tokens() const { return m_tokens; }
    const std::vector<StageCost>& costs() const { return m_costs; }
    int doubled() const { return m_doubled; }
    int gaps() const { return m_gaps; }

private:
    void takeEvent(std::string_view event);
    void takeToken(std::string_view data);
    void takeDone(std::string_view data);

    std::string m_pending;
    std::vector<std::string> m_tokens;
    std::vector<StageCost> m_costs;
    std::optional<RefusalSeen> m_refusal;
    bool m_done = false;
    int m_doubled = 0;
    int m_gaps = 0;
};

// Reads the refusal object of an answer's JSON.
RefusalSeen parseRefusal(std::string_view json);

// The answer that the backend emulators give through all stages of a pipeline.
std::vector<std::string> expectedAnswer(const CatalogueEntry& entry, const std::string& input);

}
