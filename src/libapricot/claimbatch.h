#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/requestaction.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// Claims of one hour and partition: claim key to the token that holds the claim.
using ClaimEntries = std::map<std::string, std::string>;

// One version of the platform object that stores claims. Version zero: the object does not exist.
struct ClaimObject {
    ObjectVersion version = 0;
    ClaimEntries entries;

    auto operator<=>(const ClaimObject&) const = default;
};

// Read the object, then call ClaimBatch::onRead() or ClaimBatch::onUnavailable().
struct ReadClaims {
    auto operator<=>(const ReadClaims&) const = default;
};

// Write the object if its stored version equals the one given here, then call onWriteAccepted(),
// onWriteConflict(), onWriteOutcomeUnknown() or onUnavailable() of ClaimBatch.
struct WriteClaims {
    ClaimObject object;

    auto operator<=>(const WriteClaims&) const = default;
};

using ClaimStep = std::variant<ReadClaims, WriteClaims>;

// A claim whose result is known.
struct SettledClaim {
    std::string claimKey;
    std::string token;
    ClaimResponse response;

    auto operator<=>(const SettledClaim&) const = default;
};

// Claims keys in one platform object. All waiting claims go into one conditional write, and only one
// call is open at a time. A claim is granted only by an accepted write or by an object that contains
// its token; after a lost response the object is read again.
class ClaimBatch {
public:
    // Adds a claim. Has no effect if the same claim is already waiting.
    void add(const std::string& claimKey, const std::string& token);
    // Returns the next call to make, or nothing if a call is open or no claim waits.
    std::optional<ClaimStep> next();

    void onRead(const ClaimObject& object);
    void onWriteAccepted(ObjectVersion version);
    void onWriteConflict(const ClaimObject& current);
    // The write may have taken effect, or may still take effect later.
    void onWriteOutcomeUnknown();
    // The platform refuses calls or can't be reached. All waiting claims are settled as unavailable.
    void onUnavailable(Milliseconds retryAfter);

    // Returns and clears the settled claims.
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
