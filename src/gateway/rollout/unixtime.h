#pragma once

#include "libapricot/clock.h"

#include <chrono>
#include <cstdint>

namespace Apricot {

// Milliseconds since the Unix epoch. Only for what other hosts and later processes read; it may jump.
inline std::int64_t unixMilliseconds()
{
    return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now()).time_since_epoch().count();
}

}
