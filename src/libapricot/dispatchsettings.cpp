#include "libapricot/dispatchsettings.h"

#include "libapricot/routingpolicy.h"

namespace Apricot {

namespace {

    constexpr NumberRange<double> membershipTimeRange { 100, 60'000 };
    constexpr NumberRange<double> retentionRange { 1000, 3'600'000 };

    void addTime(SettingsTable& table, const std::string& key, const std::string& effect,
        Milliseconds& target)
    {
        table.add({ .section = "membership",
                      .key = key,
                      .range = membershipTimeRange,
                      .effect = effect },
            &target);
    }

}

void describe(MembershipSettings& settings, SettingsTable& table)
{
    table.add({ .section = "membership",
                  .key = "cell",
                  .effect = "Cell that this daemon is a member of; its object is cells/CELL." },
        &settings.cell);
    addTime(table, "evidence_ms",
        "How long a proof of the newest epoch permits new work.", settings.evidence);
    addTime(table, "renewal_ms", "How often the cell's writer renews the cell's object.",
        settings.renewal);
    addTime(table, "removal_ms",
        "How long a member must have been unresponsive before the writer removes it.",
        settings.removal);
    addTime(table, "drain_ms",
        "How long a new home waits for a backend server to notice that the connections of the old "
        "home are closed.",
        settings.drain);
    table.addRule({ .name = "membership.evidence_ms",
        .isSatisfied = [&settings] { return settings.evidence >= 2 * settings.renewal; },
        .allowed = "at least twice renewal_ms" });
    table.addRule({ .name = "membership.removal_ms",
        .isSatisfied = [&settings] { return settings.removal >= 2 * settings.renewal; },
        .allowed = "at least twice renewal_ms" });
}

void describe(LoadSettings& settings, SettingsTable& table)
{
    table.add({ .section = "load",
                  .key = "routing",
                  .effect = "How a server is chosen: power_of_two, or round_robin and "
                            "least_reported for comparison." },
        &settings.routing);
    table.add({ .section = "load",
                  .key = "admission",
                  .effect = "Whether a request that can't finish in time is refused at once." },
        &settings.admission);
    table.addRule({ .name = "load.routing",
        .isSatisfied = [&settings] { return isRoutingPolicyName(settings.routing); },
        .allowed = "power_of_two, round_robin or least_reported" });
}

void describe(RecordSettings& settings, SettingsTable& table)
{
    table.add({ .section = "records",
                  .key = "retention_ms",
                  .range = retentionRange,
                  .effect = "How long the record of a request is kept after its last use. A daemon that "
                            "has run for less says \"unknown\" in place of \"not_run\"." },
        &settings.retention);
}

void describe(DispatchSettings& settings, SettingsTable& table)
{
    describe(settings.process, table);
    describeListener(settings.peer, table, "peer", "other processes of the system");
    describeServer(settings.platform, table, "platform", "the platform's object API");
    describeListener(settings.control, table, "control", "metrics, health and the state dump");
    describe(settings.membership, table);
    describe(settings.load, table);
    describe(settings.records, table);
}

}
