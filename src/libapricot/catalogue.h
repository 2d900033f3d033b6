#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// Version of a platform object. For a given key it only increases, also across deletion and
// re-creation.
using ObjectVersion = std::uint64_t;

enum class StageKind {
    Encode,
    Retrieve,
    Rerank,
    Generate,
    // A call of a plain service, such as an accounting ledger.
    Call,
};

// Priority of waiting work: Urgent is served before Standard, and Standard before Bulk.
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
    // Maximum duration of one attempt.
    Milliseconds timeout { 5000 };
    // A stage that is not idempotent runs at most once for a request key.
    bool idempotent = true;
    // Maximum number of tokens that a Generate stage may produce.
    int maxTokens = 64;

    auto operator<=>(const StageSpec&) const = default;
};

// Limits of one owner, summed over all hosts. Zero means unlimited.
struct OwnerLimits {
    double requestsPerSecond = 0;
    int requestsInFlight = 0;
    double tokensPerSecond = 0;

    auto operator<=>(const OwnerLimits&) const = default;
};

// A catalogue entry: one pipeline with its owner, service class and limits. Platform key
// catalogue/<name>.
struct CatalogueEntry {
    PipelineId name;
    OwnerId owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    // Default and maximum deadline of a request.
    Milliseconds deadline { 9000 };
    OwnerLimits limits;
    std::vector<StageSpec> stages;

    auto operator<=>(const CatalogueEntry&) const = default;

    // Whether any stage is not idempotent and must be claimed in the platform before it is sent.
    bool needsClaim() const;
};

// A backend server declared by the operators. Platform key servers/<id>.
struct BackendServer {
    BackendServerId id;
    PoolId pool;
    HostId host;
    FailureDomainId failureDomain;
    std::string address;
    std::uint16_t port = 0;
    // Maximum number of requests in flight during a cold start, over all hosts.
    int coldCap = 1;
    // Maximum number of requests in flight once the server is warm.
    int warmCap = 8;
    // Whether the server refuses an order with an outdated fencing number.
    bool checksOrders = false;

    auto operator<=>(const BackendServer&) const = default;
};

enum class ServiceState {
    In,
    Out,
};

// Immutable snapshot of everything that operators declare. A newer snapshot replaces it completely.
struct Catalogue {
    std::map<PipelineId, CatalogueEntry> entries;
    std::map<BackendServerId, BackendServer> servers;
    // Platform keys domains/<id> and hosts/<id>; an id without an entry is in service.
    std::map<FailureDomainId, ServiceState> domains;
    std::map<HostId, ServiceState> hosts;
    // Hosts listed as leaving under the platform key live/hosts. The list may be out of date.
    std::map<HostId, ServiceState> leaving;
    // Highest object version in the snapshot.
    ObjectVersion version = 0;

    bool operator==(const Catalogue&) const = default;

    // Whether the operators have taken a failure domain or a host out of service.
    bool isOutOfService(const FailureDomainId& domain) const;
    bool isOutOfService(const HostId& host) const;
    // Whether new work may be sent to the server: neither its failure domain nor its host is out of
    // service, and its host is not leaving.
    bool isInService(const BackendServer& server) const;
};

}
