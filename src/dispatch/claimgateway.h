#pragma once

#include "libapricot/requestaction.h"

#include <boost/asio/awaitable.hpp>

namespace Apricot {

// Interface through which coordinators claim keys of non-idempotent stages.
class ClaimGateway {
public:
    virtual ~ClaimGateway() = default;

    // Claims a key for a token. Never throws; the result is Unavailable if no response arrives within
    // the budget.
    virtual boost::asio::awaitable<ClaimResponse> claim(ClaimAction action, Milliseconds budget) = 0;
    // Whether the platform has recently failed to respond to claims. A request that needs a claim is
    // then refused before any of its stages runs.
    virtual bool isUnavailable() const = 0;
};

}
