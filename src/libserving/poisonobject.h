#pragma once

#include "libapricot/poisontable.h"

#include <boost/json/value.hpp>

#include <string_view>
#include <vector>

namespace Apricot {

// Prefix of the objects in the store by which hosts exchange findings about requests that crash servers.
// Each writer has one object of its own.
constexpr std::string_view poisonPrefix = "apricot-poison/";

// A list of crashes as in the objects and in the output of tools.
boost::json::array toJson(const std::vector<ServerCrash>& crashes);
// The value of an object with these notices. The remaining time is not stored, because hosts have no common
// clock: readers count it from when they first read a crash.
boost::json::value toJson(const std::vector<PoisonNotice>& notices);
// The notices of an object that have a crash; `lifetime` is their remaining time. Throws std::exception for
// malformed values.
std::vector<PoisonNotice> readPoisonNotices(const boost::json::value& value, Milliseconds lifetime);

}
