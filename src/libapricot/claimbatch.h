#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/requestaction.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// Claims of one hour and partition: claim key to the token that holds it.
using ClaimEntries = std::map<std::string, std::string>;

// The platform object that holds claims, as it stood at one version; zero when there was none.
struct ClaimObject {
    ObjectVersion version = 0;
    ClaimEntries entries;

    auto operator<=>(const ClaimObject&) const = default;
};

// Read the object, then call ClaimBatch::onRead() or onUnavailable().
struct ReadClaims {
    auto operator<=>(const ReadClaims&) const = default;
};

// Write the object if its version still is the one named here, then call onWriteAccepted(),
// onWriteConflict(), onWriteOutcomeUnknown() or onUnavailable().
struct WriteClaims {
    ClaimObject object;

    auto operator<=>(const WriteClaims&) const = default;
};

using ClaimStep = std::variant<ReadClaims, WriteClaims>;

// A claim that has its answer.
struct SettledClaim {
    std::string claimKey;
    std::string token;
    ClaimResponse answer;

    auto operator<=>(const SettledClaim&) const = default;
};

// Claims keys in one platform object: all that wait go into one conditional write, and only one call
// is open at a time. A claim is granted only by an accepted write or by an object that shows its
// token, so a lost answer is settled by reading the object back.
class ClaimBatch {
public:
    // Adds a claim. Adding the same one again before it is settled has no effect.
    void add(const std::string& claimKey, const std::string& token);
    // The next call to make, unless one is open or nothing waits.
    std::optional<ClaimStep> next();

    void onRead(const ClaimObject& object);
    void onWriteAccepted(ObjectVersion version);
    void onWriteConflict(const ClaimObject& current);
    // The write may or may not have taken effect, and may do so yet.
    void onWriteOutcomeUnknown();
    // The platform refuses calls or can't be reached; all that waits is answered so.
    void onUnavailable(Milliseconds retryAfter);

    // Claims that have been settled since the last call.
    std::vector<SettledClaim> drainSettled();
    bool isIdle() const { return !m_isCallOpen && m_waiting.empty(); }

private:
    struct Claim {
        std::string claimKey;
        std::string token;

        auto operator<=>(const Claim&) const = default;
    };

    void apply(const ClaimObject& object);
    void settle(const Claim& claim, ClaimResponse response);
    std::size_t sizeBytes() const;

    std::optional<ClaimObject> m_lastObject;
    ClaimEntries m_writtenEntries;
    std::vector<Claim> m_waiting;
    std::vector<SettledClaim> m_settled;
    bool m_isCallOpen = false;
};

}
