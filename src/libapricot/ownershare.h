#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// Part of an owner's limits that one host may use. A zero permits nothing, whereas in OwnerLimits it
// means no limit.
struct OwnerShare {
    double requestsPerSecond = 0;
    int requestsInFlight = 0;
    double tokensPerSecond = 0;

    auto operator<=>(const OwnerShare&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestsPerSecond, requestsInFlight, tokensPerSecond);
    }
};

// Parameters that must be the same on the hosts that use shares and the homes that grant them.
struct OwnerShareOptions {
    // Fraction of each limit that the hosts share evenly without a grant.
    double reserve = 0.2;
    // The reserve is divided by at least this number of hosts.
    int reserveHosts = 8;
    // Validity of a grant, counted from the time at which the host sent the request.
    Milliseconds lifetime { 7000 };
    // Longest time for which a replaced home may continue to act as the home.
    Milliseconds evidence { 3000 };
    // Longest time for which an admitted request can be in flight.
    Milliseconds maxRequestDuration { 10000 };
};

// Part of the limits that one host may use without a grant.
OwnerShare reserveShare(const OwnerLimits& limits, const OwnerShareOptions& options, std::size_t hosts);

// Report of a host about one owner, sent to request the next share.
struct OwnerShareReport {
    OwnerId owner;
    // Limits of the catalogue entry; zero means no limit.
    double requestsPerSecond = 0;
    int requestsInFlight = 0;
    double tokensPerSecond = 0;
    // What the host would use now without any limit.
    OwnerShare demand;
    // Unexpired grant of the host, the incarnation of the home that granted it, its sequence and its
    // remaining validity.
    OwnerShare grantedShare;
    std::string grantedBy;
    std::uint64_t sequence = 0;
    Milliseconds validFor { 0 };
    // Number of requests in flight in excess of the reserve.
    int inFlightBeyondReserve = 0;

    OwnerLimits limits() const
    {
        return { .requestsPerSecond = requestsPerSecond,
            .requestsInFlight = requestsInFlight,
            .tokensPerSecond = tokensPerSecond };
    }

    auto operator<=>(const OwnerShareReport&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(owner, requestsPerSecond, requestsInFlight, tokensPerSecond, demand, grantedShare,
            grantedBy, sequence, validFor, inFlightBeyondReserve);
    }
};

// Reports of one host to one home. Each request has a higher number than the previous one, so that
// outdated requests are recognised.
struct ShareRequest {
    HostId host;
    std::string incarnation;
    std::uint64_t number = 0;
    std::vector<OwnerShareReport> reports;

    auto operator<=>(const ShareRequest&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(host, incarnation, number, reports); }
};

// A share that replaces the host's previous one. Later grants of the same home have higher sequences.
struct ShareGrant {
    OwnerId owner;
    std::uint64_t sequence = 0;
    OwnerShare share;

    auto operator<=>(const ShareGrant&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(owner, sequence, share); }
};

// Response of a home. For an owner without a grant in it, the previous share is valid until it expires.
struct ShareResponse {
    std::uint64_t number = 0;
    HostId home;
    std::string homeIncarnation;
    std::vector<ShareGrant> grants;

    auto operator<=>(const ShareResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(number, home, homeIncarnation, grants); }
};

}
