#include "bench/benchmarks.h"

#include "libapricot/loadrouter.h"
#include "libapricot/ownerlimiter.h"
#include "libapricot/recordcopy.h"
#include "libapricot/rendezvous.h"

#include "libnet/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace Apricot {

namespace {

    constexpr std::size_t replicasPerMember = 5;
    constexpr std::size_t serversPerPipeline = 300;
    constexpr std::size_t cellMembers = 100;
    constexpr std::size_t tokensPerRequest = 200;
    constexpr std::size_t failureDomains = 14;

    std::string numberedName(const std::string& name, std::size_t number)
    {
        return name + "-" + std::to_string(number);
    }

    CellState makeCell(std::size_t members)
    {
        CellState cell;
        for (std::size_t number = 0; number < members; ++number) {
            const HostId host(numberedName("entry-host", number));
            cell.members.push_back({ .host = host,
                .incarnation = "0193b5a2-6f1c-7b1e-9f7a-2d0c8a5e4b11",
                .failureDomain = FailureDomainId(numberedName("domain", number % failureDomains)),
                .address = "10.20.30.40",
                .port = 7070 });
            for (std::size_t replica = 0; replica < replicasPerMember; ++replica)
                cell.homes[BackendServerId(
                    numberedName("model-replica", number * replicasPerMember + replica))]
                    = { .home = host, .incarnation = cell.members.back().incarnation };
        }
        return cell;
    }

    Catalogue makeCatalogue(std::size_t servers)
    {
        Catalogue catalogue { .version = 1 };
        for (std::size_t number = 0; number < servers; ++number) {
            const BackendServerId id(numberedName("model-replica", number));
            catalogue.servers[id] = { .id = id,
                .pool = PoolId("generators"),
                .host = HostId(numberedName("machine", number)),
                .failureDomain = FailureDomainId(numberedName("domain", number % failureDomains)),
                .address = "10.20.30.40",
                .port = 9000 };
        }
        for (std::size_t number = 0; number < servers / serversPerPipeline + 1; ++number) {
            const PipelineId name(numberedName("pipeline", number));
            catalogue.entries[name] = { .name = name, .owner = OwnerId("owner"), .stages = std::vector<StageSpec>(5) };
        }
        return catalogue;
    }

    ControlView makeView(const std::shared_ptr<const Catalogue>& catalogue, std::size_t members)
    {
        return { .self = HostId(numberedName("entry-host", 0)),
            .failureDomain = FailureDomainId(numberedName("domain", 0)),
            .catalogue = catalogue,
            .cell = std::make_shared<const CellState>(makeCell(members)) };
    }

}

std::vector<Measurement> measureHostRanking()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 8U, 50U, 200U, 1000U, 2200U }) {
        std::vector<HostId> hosts;
        for (std::size_t number = 0; number < size; ++number)
            hosts.emplace_back(numberedName("entry-host", number));
        const double time = meanMicroseconds([&hosts] { rankHosts("a-request-key", hosts); });
        result.push_back({ "rankHosts", "members", size, time, 0 });
    }
    return result;
}

std::vector<Measurement> measureCellStateEncoding()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 8U, 50U, 200U, 1000U, 2200U }) {
        const CellState cell = makeCell(size);
        std::string encoded;
        const double time = meanMicroseconds([&] {
            std::ostringstream stream;
            cereal::PortableBinaryOutputArchive archive(stream);
            archive(cell);
            encoded = std::move(stream).str();
        });
        result.push_back(
            { "cell state, encoded", "members", size, time, static_cast<double>(encoded.size()) });
    }
    return result;
}

std::vector<Measurement> measureCatalogueSnapshot()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 100U, 1000U, 5000U, 10000U }) {
        Catalogue catalogue;
        const double bytes = heapGrowth([&] { catalogue = makeCatalogue(size); });
        const double time
            = meanMicroseconds([&catalogue] { std::make_shared<Catalogue>(catalogue); });
        result.push_back({ "catalogue snapshot", "servers", size, time, bytes });
    }
    return result;
}

std::vector<Measurement> measureShareRound()
{
    std::vector<Measurement> result;
    const auto catalogue = std::make_shared<const Catalogue>();
    const ControlView view = makeView(catalogue, cellMembers);
    for (const std::size_t size : { 10U, 100U, 1000U }) {
        OwnerLimiter limiter;
        const TimePoint now = RuntimeClock::now();
        const double bytes = heapGrowth([&] {
            for (std::size_t number = 0; number < size; ++number)
                limiter.admit(
                    OwnerId(numberedName("owner", number)), { .requestsPerSecond = 100 }, 1, now);
        });
        const double time = meanMicroseconds([&] { limiter.shareRequests(view, now); });
        result.push_back({ "owner table, share round", "owners", size, time, bytes });
    }
    return result;
}

std::vector<Measurement> measureShareRequestEncoding()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 1U, 7U, 50U }) {
        ShareRequest request { .host = HostId(numberedName("entry-host", 0)),
            .incarnation = "0193b5a2-6f1c-7b1e-9f7a-2d0c8a5e4b11" };
        for (std::size_t number = 0; number < size; ++number)
            request.reports.push_back({ .owner = OwnerId(numberedName("owner", number)),
                .grantedBy = request.incarnation });
        const Message message = ShareRequestMessage { request };
        std::string encoded;
        const double time = meanMicroseconds([&] { encoded = encodeMessage(message); });
        result.push_back({ "share request, encoded", "owners", size, time,
            static_cast<double>(encoded.size()) });
    }
    return result;
}

std::vector<Measurement> measureRouterChoice()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 10U, 100U, 480U, 2000U }) {
        const auto catalogue = std::make_shared<const Catalogue>(makeCatalogue(size));
        const ControlView view = makeView(catalogue, 8);
        const StageSpec stage { .pool = PoolId("generators") };
        LoadRouter router;
        const auto choose = [&] {
            router.choose(view, stage, RequestKey("key"), {}, RuntimeClock::now());
        };
        const double bytes = heapGrowth(choose);
        result.push_back(
            { "router choice", "replicas of the pool", size, meanMicroseconds(choose), bytes });
    }
    return result;
}

std::vector<Measurement> measureRequestRecords()
{
    std::vector<Measurement> result;
    for (const std::size_t size : { 100U, 1000U, 5000U }) {
        std::vector<RecordCopy> records;
        const double bytes = heapGrowth([&records, size] {
            for (std::size_t number = 0; number < size; ++number)
                records.push_back({ .key = RequestKey("0193b5a2-6f1c-7b1e-9f7a-2d0c8a5e4b11"),
                    .pipeline = PipelineId("pipeline"),
                    .input = std::string(1000, 'x'),
                    .results = std::vector<StageResult>(4, { "stage", std::string(100, 'y') }),
                    .tokens = std::vector<std::string>(tokensPerRequest, "token") });
        });
        result.push_back({ "request records", "records", size, 0, bytes });
    }
    return result;
}

}
