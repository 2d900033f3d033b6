#include "libapricot/dispatchmetrics.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>

namespace Apricot {

namespace {

    // A numeric field of the state dump and the gauge that exports it.
    struct GaugeSource {
        std::string_view field;
        const char* name;
        const char* help;
    };

    constexpr std::array<GaugeSource, 5> controlGauges { {
        { "epoch", "apricot_epoch", "Epoch that this daemon knows" },
        { "permission_ms", "apricot_permission_milliseconds",
            "How much longer new work is permitted; negative when it is not" },
        { "is_member", "apricot_is_member", "1 while this daemon is a member of its cell" },
        { "is_writer", "apricot_is_writer", "1 while this daemon writes its cell's object" },
        { "catalogue_version", "apricot_catalogue_version", "Version of the catalogue in force" },
    } };
    constexpr std::array<GaugeSource, 7> coordinatorGauges { {
        { "callers", "apricot_callers", "Callers attached to requests" },
        { "served", "apricot_served", "Requests coordinated since the start" },
        { "relayed", "apricot_relayed", "Requests relayed to their coordinator since the start" },
        { "records", "apricot_records", "Records of requests kept as coordinator" },
        { "copies", "apricot_copies", "Copies of records kept as follower" },
        { "retries_saved", "apricot_retry_budget", "Extra attempts that may be made at once" },
        { "poison", "apricot_poison_entries", "Fingerprints that are suspect or refused" },
    } };
    constexpr std::array<GaugeSource, 5> replicaGauges { {
        { "in_flight", "apricot_replica_in_flight", "Requests in flight on a server" },
        { "queued", "apricot_replica_queued", "Attempts waiting for a server" },
        { "cap", "apricot_replica_cap", "Most requests in flight that a server is given" },
        { "cold", "apricot_replica_cold", "1 while a server is in a cold start" },
        { "reachable", "apricot_replica_reachable", "1 while a server answers" },
    } };

    const boost::json::value* findField(const boost::json::value* value, std::string_view field)
    {
        return value != nullptr && value->is_object() ? value->get_object().if_contains(field)
                                                      : nullptr;
    }

    void setGauge(MetricRegistry& registry, const GaugeSource& source,
        const boost::json::value* number, const MetricLabels& labels)
    {
        if (number == nullptr || !(number->is_number() || number->is_bool()))
            return;
        const double gaugeValue = number->is_bool() ? static_cast<double>(number->get_bool())
                                                    : number->to_number<double>();
        registry.gauge(source.name, source.help, labels).set(gaugeValue);
    }

    template <std::size_t Count>
    void setGauges(MetricRegistry& registry, const std::array<GaugeSource, Count>& sources,
        const boost::json::value* object, const MetricLabels& labels = {})
    {
        for (const GaugeSource& source : sources)
            setGauge(registry, source, findField(object, source.field), labels);
    }

    void setRefusals(MetricRegistry& registry, const boost::json::value* refused)
    {
        if (refused == nullptr || !refused->is_object())
            return;
        const GaugeSource source { "", "apricot_coordinator_refused",
            "Refusals since the start, by reason" };
        for (const boost::json::key_value_pair& reason : refused->get_object())
            setGauge(registry, source, &reason.value(), { { "reason", reason.key() } });
    }

    // Gauges of replicas whose home has moved to another daemon are removed.
    void setReplicas(MetricRegistry& registry, const boost::json::value* replicas)
    {
        for (const GaugeSource& source : replicaGauges)
            registry.remove(source.name);
        if (replicas == nullptr || !replicas->is_array())
            return;
        for (const boost::json::value& replica : replicas->get_array()) {
            const boost::json::value* server = findField(&replica, "server");
            if (server == nullptr || !server->is_string())
                continue;
            const std::string name(server->get_string());
            setGauges(registry, replicaGauges, &replica, { { "server", name } });
        }
    }

}

void setDispatchMetrics(MetricRegistry& registry, const boost::json::value& state)
{
    const boost::json::value* coordinator = findField(&state, "coordinator");
    setGauges(registry, controlGauges, findField(&state, "control"));
    setGauges(registry, coordinatorGauges, coordinator);
    setRefusals(registry, findField(coordinator, "refused"));
    setReplicas(registry, findField(findField(&state, "homes"), "replicas"));
}

}
