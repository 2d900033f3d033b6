#pragma once

#include "libapricot/claimbatch.h"

#include <boost/asio/awaitable.hpp>

#include <stdexcept>

namespace Apricot {

// How a conditional write of claims ended: the new version, the object that stands in its place, or
// nothing when the answer was lost.
struct ClaimWriteAccepted {
    ObjectVersion version = 0;
};
struct ClaimWriteConflict {
    ClaimObject current;
};
struct ClaimWriteUnknown { };
using ClaimWriteResult = std::variant<ClaimWriteAccepted, ClaimWriteConflict, ClaimWriteUnknown>;

// Thrown when the platform can't be reached or refuses a call, so that nothing was changed.
class ClaimStoreUnavailable : public std::runtime_error {
public:
    ClaimStoreUnavailable(const std::string& what, Milliseconds retryAfter)
        : std::runtime_error(what)
        , m_retryAfter(retryAfter)
    {
    }

    Milliseconds retryAfter() const { return m_retryAfter; }

private:
    Milliseconds m_retryAfter;
};

// Claim objects in the platform.
class ClaimStore {
public:
    virtual ~ClaimStore() = default;

    // The object as it stands, with version zero when there is none.
    virtual boost::asio::awaitable<ClaimObject> read(std::string objectKey) = 0;
    // Writes the entries if the object's version still is the one given.
    virtual boost::asio::awaitable<ClaimWriteResult> compareAndPut(
        std::string objectKey, ClaimObject object)
        = 0;
    // Deletes an object whose keys have all expired.
    virtual boost::asio::awaitable<void> remove(std::string objectKey) = 0;
};

}
