#pragma once

#include "libserving/serverlimits.h"

#include <string>

// Messages between hosts about the limits of backend servers, as JSON texts. The readers throw std::exception for any
// other text. Times are sent as ages, so that hosts need no common clock.
namespace Apricot {

// What a host knows about the limit of a server: the notice of a change, or part of a request for a permit.
struct LimitNotice {
    ServerStart server;
    LimitEvidence evidence;

    auto operator<=>(const LimitNotice&) const = default;
};

// Response to a request for a permit.
struct PermitResponse {
    bool isGranted = false;
    // Time until another request may be granted.
    Milliseconds wait { 0 };
    // The latest evidence of the host that responds.
    LimitEvidence evidence;

    auto operator<=>(const PermitResponse&) const = default;
};

std::string toJson(const LimitNotice& notice, TimePoint now);
LimitNotice readLimitNotice(const std::string& text, TimePoint now);
std::string toJson(const PermitResponse& response, TimePoint now);
PermitResponse readPermitResponse(const std::string& text, TimePoint now);

}
