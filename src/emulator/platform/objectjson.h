#pragma once

#include "emulator/platform/objectstore.h"

#include <boost/json/value.hpp>

namespace Apricot {

// What the store holds for an object: what its writer set, and what is written about it on its status path.
boost::json::value storedValue(boost::json::value spec, boost::json::value status);
// One of these parts, "spec" or "status"; null if there is none.
boost::json::value partOf(const boost::json::value& stored, std::string_view name);

// Responses of the API.
boost::json::value objectJson(const StoreObject& object);
boost::json::value eventsJson(const StoreEvents& events);
// The objects of a list after a name, up to the length of a page.
boost::json::value listJson(const StoreList& list, const std::string& after);
boost::json::value conflictJson(const StoreConflict& conflict);

}
