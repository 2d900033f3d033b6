#pragma once

#include "libapricot/clock.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace Apricot {

// Faults that the emulator plays until other ones are set.
struct PlatformFaults {
    // Every call of an object is answered 503.
    bool outage = false;
    // Calls and waiting watches get no answer, also when this has ended.
    bool unresponsive = false;
    // Added before each answer.
    Milliseconds delay { 0 };
    // Probability that a write takes effect and its connection is closed without an answer.
    double responseLossRate = 0;
    // Reads are served from a state that is some revisions old.
    bool staleReads = false;
    // Events of one watch answer come in any order, with some older events among them.
    bool reorderWatch = false;
    // Hosts whose calls are dropped, by their X-Host field.
    std::set<std::string> cutHosts;
    std::uint64_t seed = 1;

    bool operator==(const PlatformFaults&) const = default;
};

// Reads the body of POST /faults; what it leaves out is off. Throws boost::system::system_error when
// a member has the wrong type.
PlatformFaults parsePlatformFaults(const boost::json::value& value);

}
