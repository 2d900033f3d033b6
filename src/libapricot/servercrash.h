#pragma once

#include "libapricot/fingerprint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// One start of a backend server that ended while it ran a request or a piece of its stages.
struct ServerCrash {
    // Value of `stage` for a server that ran the request itself.
    static constexpr int requestStage = -1;
    // Value of `stage` that marks a probation run instead of a crash; see PoisonTable::startProbation().
    static constexpr int probationStage = -2;

    BackendServerId server;
    // Unix time of the server's start in milliseconds; for a probation run, its number.
    std::int64_t startedAt = 0;
    int stage = requestStage;

    auto operator<=>(const ServerCrash&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(server, startedAt, stage); }
};

// What crashes of servers are counted against: a request, or a part of a prompt that requests share.
struct PoisonSubject {
    Fingerprint fingerprint = 0;
    // ID of the part as callers send it; empty for a request.
    std::string part;

    bool isPart() const { return !part.empty(); }
    // For logs: the ID of a part, or the fingerprint of a request.
    std::string name() const { return isPart() ? part : toText(fingerprint); }

    auto operator<=>(const PoisonSubject&) const = default;
};

// IDs of the parts among some subjects for logs, separated by commas; shortened if there are many.
std::string partNames(const std::vector<PoisonSubject>& subjects);

}
