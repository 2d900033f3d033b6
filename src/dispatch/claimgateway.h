#pragma once

#include "libapricot/requestaction.h"

#include <boost/asio/awaitable.hpp>

namespace Apricot {

// Gives claims on non-idempotent stages to coordinators.
class ClaimGateway {
public:
    virtual ~ClaimGateway() = default;

    // Claims a key for a token. Never throws; a claim without an answer is Unavailable.
    virtual boost::asio::awaitable<ClaimResponse> claim(ClaimAction action, Milliseconds budget) = 0;
    // Whether the platform has lately failed to answer claims, so that a request that needs one is
    // better refused before any stage has run.
    virtual bool isUnavailable() const = 0;
};

}
