#include "libapricot/cataloguejson.h"

#include "libapricot/namecheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <array>

namespace Apricot {

namespace {

    constexpr std::string_view rootPath = "$";
    constexpr NumberRange<double> requestRateRange { 0, 1e6 };
    constexpr NumberRange<double> tokenRateRange { 0, 1e9 };
    constexpr NumberRange<std::int64_t> inFlightRange { 0, 1'000'000 };
    constexpr NumberRange<std::int64_t> maxTokensRange { 1, 1'000'000 };
    constexpr NumberRange<std::int64_t> portRange { 1, 65535 };
    constexpr NumberRange<std::int64_t> capRange { 1, 100'000 };

    template <typename Value>
    struct NamedValue {
        std::string_view name;
        Value value;
    };

    constexpr std::array<NamedValue<StageKind>, 5> stageKinds { {
        { "encode", StageKind::Encode },
        { "retrieve", StageKind::Retrieve },
        { "rerank", StageKind::Rerank },
        { "generate", StageKind::Generate },
        { "call", StageKind::Call },
    } };
    constexpr std::array<NamedValue<ServiceClass>, 3> serviceClasses { {
        { "urgent", ServiceClass::Urgent },
        { "standard", ServiceClass::Standard },
        { "bulk", ServiceClass::Bulk },
    } };
    constexpr std::array<NamedValue<ServiceState>, 2> serviceStates { {
        { "in", ServiceState::In },
        { "out", ServiceState::Out },
    } };

    template <typename Table, typename Value>
    std::string_view nameOf(const Table& table, Value value)
    {
        const auto found = std::find_if(table.begin(), table.end(),
            [value](const auto& named) { return named.value == value; });
        return found == table.end() ? std::string_view("unknown") : found->name;
    }

    template <typename Table>
    auto parseEnum(JsonFields& fields, std::string_view key, const Table& table)
    {
        std::vector<std::string_view> names;
        names.reserve(table.size());
        for (const auto& named : table)
            names.push_back(named.name);
        const std::string_view choice = fields.choice(key, names);
        const auto found = std::find_if(table.begin(), table.end(),
            [choice](const auto& named) { return named.name == choice; });
        return found->value;
    }

    void checkIdentifier(bool isValid)
    {
        if (!isValid) {
            throw CatalogueError(
                std::string(rootPath), "the name of the object must be " + std::string(allowedName));
        }
    }

    // Validates the optional change field, which is not part of the parsed value.
    void checkChangeField(JsonFields& fields)
    {
        if (!fields.has(changeField))
            return;
        JsonFields change(fields.value(changeField), fields.pathOf(changeField));
        change.name("by");
        change.name("id");
        change.finish();
    }

    Milliseconds parseDuration(JsonFields& fields, std::string_view key, Milliseconds limit)
    {
        return Milliseconds(fields.integer(key, { 1, limit.count() }));
    }

    // A stage of kind Call must state whether it may be retried: a wrong default could charge a
    // customer twice. Stages of all other kinds may always be retried.
    bool parseIdempotent(JsonFields& fields, StageKind kind)
    {
        if (kind == StageKind::Call)
            return fields.boolean("idempotent");
        if (!fields.has("idempotent"))
            return true;
        if (!fields.boolean("idempotent")) {
            throw CatalogueError(fields.pathOf("idempotent"),
                "may be false only for a stage of kind \"call\"");
        }
        return true;
    }

    StageSpec parseStage(const boost::json::value& value, std::string path, Milliseconds deadline)
    {
        JsonFields fields(value, std::move(path));
        StageSpec stage;
        stage.name = fields.name("name");
        stage.kind = parseEnum(fields, "kind", stageKinds);
        stage.pool = PoolId(fields.name("pool"));
        stage.timeout = fields.has("timeout_ms") ? parseDuration(fields, "timeout_ms", deadline)
                                                 : std::min(stage.timeout, deadline);
        stage.idempotent = parseIdempotent(fields, stage.kind);
        if (fields.has("max_tokens"))
            stage.maxTokens = static_cast<int>(fields.integer("max_tokens", maxTokensRange));
        fields.finish();
        return stage;
    }

    std::vector<StageSpec> parseStages(
        const boost::json::value& value, const std::string& path, Milliseconds deadline)
    {
        const boost::json::array* array = value.if_array();
        if (array == nullptr || array->empty() || array->size() > stageCountLimit) {
            throw CatalogueError(path,
                "must be a list of 1 to " + std::to_string(stageCountLimit) + " stages");
        }
        std::vector<StageSpec> stages;
        for (std::size_t index = 0; index < array->size(); ++index) {
            const std::string stagePath = path + "[" + std::to_string(index) + "]";
            StageSpec stage = parseStage(array->at(index), stagePath, deadline);
            const bool isNameUsed = std::any_of(stages.begin(), stages.end(),
                [&stage](const StageSpec& previous) { return previous.name == stage.name; });
            if (isNameUsed) {
                throw CatalogueError(
                    stagePath + ".name", "must be unique among the stages of the pipeline");
            }
            stages.push_back(std::move(stage));
        }
        return stages;
    }

    OwnerLimits parseLimits(const boost::json::value& value, std::string path)
    {
        JsonFields fields(value, std::move(path));
        OwnerLimits limits;
        if (fields.has("requests_per_second"))
            limits.requestsPerSecond = fields.number("requests_per_second", requestRateRange);
        if (fields.has("requests_in_flight")) {
            limits.requestsInFlight
                = static_cast<int>(fields.integer("requests_in_flight", inFlightRange));
        }
        if (fields.has("tokens_per_second"))
            limits.tokensPerSecond = fields.number("tokens_per_second", tokenRateRange);
        fields.finish();
        return limits;
    }

    void checkCaps(const JsonFields& fields, const BackendServer& server)
    {
        if (server.coldCap > server.warmCap) {
            throw CatalogueError(fields.pathOf("cold_cap"),
                "must not be greater than warm_cap, which is " + std::to_string(server.warmCap));
        }
    }

    boost::json::value toJson(const StageSpec& stage)
    {
        return boost::json::object {
            { "name", stage.name },
            { "kind", stageKindName(stage.kind) },
            { "pool", stage.pool.value() },
            { "timeout_ms", stage.timeout.count() },
            { "idempotent", stage.idempotent },
            { "max_tokens", stage.maxTokens },
        };
    }

}

std::string_view stageKindName(StageKind kind)
{
    return nameOf(stageKinds, kind);
}

std::string_view serviceClassName(ServiceClass serviceClass)
{
    return nameOf(serviceClasses, serviceClass);
}

std::string_view serviceStateName(ServiceState state)
{
    return nameOf(serviceStates, state);
}

CatalogueEntry parseCatalogueEntry(const PipelineId& name, const boost::json::value& value)
{
    checkIdentifier(isValidName(name.value()));
    JsonFields fields(value, std::string(rootPath));
    CatalogueEntry entry;
    entry.name = name;
    entry.owner = OwnerId(fields.name("owner"));
    entry.serviceClass = parseEnum(fields, "class", serviceClasses);
    entry.deadline = parseDuration(fields, "deadline_ms", deadlineLimit);
    if (fields.has("limits"))
        entry.limits = parseLimits(fields.value("limits"), fields.pathOf("limits"));
    entry.stages = parseStages(fields.value("stages"), fields.pathOf("stages"), entry.deadline);
    checkChangeField(fields);
    fields.finish();
    return entry;
}

BackendServer parseBackendServer(const BackendServerId& id, const boost::json::value& value)
{
    checkIdentifier(isValidName(id.value()));
    JsonFields fields(value, std::string(rootPath));
    BackendServer server;
    server.id = id;
    server.pool = PoolId(fields.name("pool"));
    server.host = HostId(fields.name("host"));
    server.failureDomain = FailureDomainId(fields.name("failure_domain"));
    server.address = fields.address("address");
    server.port = static_cast<std::uint16_t>(fields.integer("port", portRange));
    if (fields.has("cold_cap"))
        server.coldCap = static_cast<int>(fields.integer("cold_cap", capRange));
    if (fields.has("warm_cap"))
        server.warmCap = static_cast<int>(fields.integer("warm_cap", capRange));
    if (fields.has("checks_orders"))
        server.checksOrders = fields.boolean("checks_orders");
    checkChangeField(fields);
    fields.finish();
    checkCaps(fields, server);
    return server;
}

ServiceState parseServiceState(const boost::json::value& value)
{
    JsonFields fields(value, std::string(rootPath));
    const ServiceState state = parseEnum(fields, "state", serviceStates);
    checkChangeField(fields);
    fields.finish();
    return state;
}

boost::json::value toJson(const CatalogueEntry& entry)
{
    boost::json::array stages;
    for (const StageSpec& stage : entry.stages)
        stages.push_back(toJson(stage));
    return boost::json::object {
        { "owner", entry.owner.value() },
        { "class", serviceClassName(entry.serviceClass) },
        { "deadline_ms", entry.deadline.count() },
        { "limits",
            boost::json::object {
                { "requests_per_second", entry.limits.requestsPerSecond },
                { "requests_in_flight", entry.limits.requestsInFlight },
                { "tokens_per_second", entry.limits.tokensPerSecond },
            } },
        { "stages", std::move(stages) },
    };
}

boost::json::value toJson(const BackendServer& server)
{
    return boost::json::object {
        { "pool", server.pool.value() },
        { "host", server.host.value() },
        { "failure_domain", server.failureDomain.value() },
        { "address", server.address },
        { "port", server.port },
        { "cold_cap", server.coldCap },
        { "warm_cap", server.warmCap },
        { "checks_orders", server.checksOrders },
    };
}

boost::json::value toJson(ServiceState state)
{
    return boost::json::object { { "state", serviceStateName(state) } };
}

}
