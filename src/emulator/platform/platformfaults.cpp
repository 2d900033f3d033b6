#include "emulator/platform/platformfaults.h"

#include <boost/json/value_to.hpp>

namespace Apricot {

namespace {

    template <typename Type>
    Type memberOr(const boost::json::object& object, std::string_view name, Type fallback)
    {
        const boost::json::value* member = object.if_contains(name);
        return member ? boost::json::value_to<Type>(*member) : fallback;
    }

}

PlatformFaults parsePlatformFaults(const boost::json::value& value)
{
    const boost::json::object& object = value.as_object();
    PlatformFaults faults;
    faults.outage = memberOr(object, "outage", false);
    faults.unavailableKinds = memberOr(object, "unavailable_kinds", std::set<std::string>());
    faults.unresponsive = memberOr(object, "silent", false);
    faults.delay = Milliseconds(memberOr<std::int64_t>(object, "delay_ms", 0));
    faults.responseLossRate = memberOr(object, "lose_answers", 0.0);
    faults.staleReads = memberOr(object, "stale_reads", false);
    faults.staleListLag = memberOr<std::uint64_t>(object, "stale_list_lag", 0);
    faults.reorderWatch = memberOr(object, "reorder_watch", false);
    faults.cutHosts = memberOr(object, "cut_hosts", std::set<std::string>());
    faults.lostChanges = memberOr<std::uint64_t>(object, "lose_changes", 0);
    faults.hidesEra = memberOr(object, "hide_era", false);
    faults.seed = memberOr<std::uint64_t>(object, "seed", 1);
    return faults;
}

}
