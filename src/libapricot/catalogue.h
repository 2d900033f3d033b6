#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// Version of a platform object. It only rises for a given key, over deletion and re-creation too.
using ObjectVersion = std::uint64_t;

enum class StageKind {
    Encode,
    Retrieve,
    Rerank,
    Generate,
    // A call of a plain service, such as a ledger.
    Call,
};

// Order in which waiting work is served: Urgent before Standard before Bulk.
enum class ServiceClass {
    Urgent,
    Standard,
    Bulk,
};

// One stage of a pipeline.
struct StageSpec {
    std::string name;
    StageKind kind = StageKind::Generate;
    PoolId pool;
    // Longest time one attempt may take.
    Milliseconds timeout { 5000 };
    // A stage that is not idempotent runs at most once for a request key.
    bool idempotent = true;
    // Largest number of tokens that a Generate stage may produce.
    int maxTokens = 64;

    auto operator<=>(const StageSpec&) const = default;
};

// Bounds of one owner, summed over all hosts. A zero means no bound.
struct OwnerLimits {
    double requestsPerSecond = 0;
    int requestsInFlight = 0;
    double tokensPerSecond = 0;

    auto operator<=>(const OwnerLimits&) const = default;
};

// A catalogue entry: one pipeline with its owner, class and limits. Platform key catalogue/<name>.
struct CatalogueEntry {
    PipelineId name;
    OwnerId owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    // Deadline of a request that names none, and the largest that one may name.
    Milliseconds deadline { 9000 };
    OwnerLimits limits;
    std::vector<StageSpec> stages;

    auto operator<=>(const CatalogueEntry&) const = default;

    // Whether a stage is not idempotent, so that it is claimed in the platform before it is sent.
    bool needsClaim() const;
};

// A backend server that the operators declare. Platform key servers/<id>.
struct BackendServer {
    BackendServerId id;
    PoolId pool;
    HostId host;
    FailureDomainId failureDomain;
    std::string address;
    std::uint16_t port = 0;
    // Most requests in flight that the server bears during a cold start, over all hosts.
    int coldCap = 1;
    // Most requests in flight that it is given once warm.
    int warmCap = 8;
    // Whether the server refuses an order with an old fencing number.
    bool checksOrders = false;

    auto operator<=>(const BackendServer&) const = default;
};

enum class ServiceState {
    In,
    Out,
};

// Everything that operators declare, as one immutable snapshot. A newer snapshot replaces it whole.
struct Catalogue {
    std::map<PipelineId, CatalogueEntry> entries;
    std::map<BackendServerId, BackendServer> servers;
    // Platform keys domains/<id> and hosts/<id>; a name that is missing is in service.
    std::map<FailureDomainId, ServiceState> domains;
    std::map<HostId, ServiceState> hosts;
    // Hosts that the platform's lagging list shows as leaving. Platform key live/hosts.
    std::map<HostId, ServiceState> leaving;
    // Highest object version that the snapshot holds.
    ObjectVersion version = 0;

    bool operator==(const Catalogue&) const = default;

    // Whether the operators have taken a failure domain or a host out of service.
    bool isOutOfService(const FailureDomainId& domain) const;
    bool isOutOfService(const HostId& host) const;
    // Whether new work may go to the server: neither its domain nor its host is out or leaving.
    bool isInService(const BackendServer& server) const;
};

}
