#pragma once

#include "libapricot/clock.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace Apricot {

// Faults that the emulator injects until others are set.
struct PlatformFaults {
    // Every call of the object API gets status 503.
    bool outage = false;
    // Kinds of objects whose calls get status 503.
    std::set<std::string> unavailableKinds;
    // Calls and waiting watches get no response, even after this fault has ended.
    bool unresponsive = false;
    // Delay before each response.
    Milliseconds delay { 0 };
    // Probability that a write is applied but its connection is closed without a response.
    double responseLossRate = 0;
    // Reads are served from a state that may be some revisions old.
    bool staleReads = false;
    // Number of revisions by which lists are older whose callers allow that.
    std::uint64_t staleListLag = 0;
    // Events of a watch response are shuffled together with some older events.
    bool reorderWatch = false;
    // Hosts whose calls are dropped, identified by the X-Host header field.
    std::set<std::string> cutHosts;
    // Number of the last changes that the store loses once, by coming back from an older copy.
    std::uint64_t lostChanges = 0;
    // Whether responses lack the field with the store's era.
    bool hidesEra = false;
    std::uint64_t seed = 1;

    bool operator==(const PlatformFaults&) const = default;
};

// Parses the body of POST /faults. A missing member turns its fault off. Throws
// boost::system::system_error if a member has the wrong type.
PlatformFaults parsePlatformFaults(const boost::json::value& value);

}
