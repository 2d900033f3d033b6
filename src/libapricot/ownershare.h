#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// A part of an owner's limits that one host may use. Unlike in OwnerLimits, a zero grants nothing.
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

// Timing and sizes on which the hosts that use shares and the homes that grant them must agree.
struct OwnerShareOptions {
    // Part of each limit that is divided evenly between the hosts without any grant.
    double reserve = 0.2;
    // Fewest hosts between which the reserve is divided.
    int reserveHosts = 8;
    // Validity of a grant, from the moment at which the host asked for it.
    Milliseconds lifetime { 7000 };
    // Longest time for which a home that was replaced may still believe that it is the home.
    Milliseconds evidence { 3000 };
    // Longest time for which an admitted request can be in flight.
    Milliseconds maxRequestDuration { 10000 };
};

// Largest part of the limits that one host may use without a grant.
OwnerShare reserveShare(const OwnerLimits& limits, const OwnerShareOptions& options, std::size_t hosts);

// What a host reports of one owner when it asks for its next share.
struct OwnerShareReport {
    OwnerId owner;
    // Limits of the catalogue entry; zeros as in OwnerLimits.
    double requestsPerSecond = 0;
    int requestsInFlight = 0;
    double tokensPerSecond = 0;
    // What the host would use at present if it had no limit.
    OwnerShare demand;
    // The grant that the host goes by, which home's process made it, and its remaining validity.
    OwnerShare grantedShare;
    std::string grantedBy;
    std::uint64_t sequence = 0;
    Milliseconds validFor { 0 };
    // Requests in flight beyond the reserve.
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

// All that a host asks of one home at a time. Numbers rise, so that an older one is told apart.
struct ShareRequest {
    HostId host;
    std::string incarnation;
    std::uint64_t number = 0;
    std::vector<OwnerShareReport> reports;

    auto operator<=>(const ShareRequest&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(host, incarnation, number, reports); }
};

// A share that replaces the host's earlier one. Later grants of one home have higher sequences.
struct ShareGrant {
    OwnerId owner;
    std::uint64_t sequence = 0;
    OwnerShare share;

    auto operator<=>(const ShareGrant&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(owner, sequence, share); }
};

// A home's answer. An owner without a grant in it keeps the share that it has until it lapses.
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
