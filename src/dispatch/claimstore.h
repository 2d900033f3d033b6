#pragma once

#include "libapricot/claimbatch.h"

#include <boost/asio/awaitable.hpp>

#include <stdexcept>

namespace Apricot {

// Result of a conditional write of claims: the new version, the object stored by another writer, or
// neither if the response was lost and the outcome is unknown.
struct ClaimWriteAccepted {
    ObjectVersion version = 0;
};
struct ClaimWriteConflict {
    ClaimObject current;
};
struct ClaimWriteUnknown { };
using ClaimWriteResult = std::variant<ClaimWriteAccepted, ClaimWriteConflict, ClaimWriteUnknown>;

// Thrown if the platform can't be reached or refuses a call; nothing was changed.
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

// Storage of claim objects on the platform.
class ClaimStore {
public:
    virtual ~ClaimStore() = default;

    // Returns the stored object, or one with version zero if there is none.
    virtual boost::asio::awaitable<ClaimObject> read(std::string objectKey) = 0;
    // Writes the entries if the stored version still equals the version of the given object.
    virtual boost::asio::awaitable<ClaimWriteResult> compareAndPut(
        std::string objectKey, ClaimObject object)
        = 0;
    // Deletes an object whose keys have all expired.
    virtual boost::asio::awaitable<void> remove(std::string objectKey) = 0;
};

}
