#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/jsonfields.h"

#include <boost/json/value.hpp>

#include <string_view>

namespace Apricot {

// Largest deadline that a catalogue entry may give.
constexpr Milliseconds deadlineLimit { 120'000 };
// Most stages of one pipeline.
constexpr std::size_t stageCountLimit = 16;

// Names used in the catalogue's JSON, such as "generate" and "urgent".
std::string_view stageKindName(StageKind kind);
std::string_view serviceClassName(ServiceClass serviceClass);
std::string_view serviceStateName(ServiceState state);

// Optional field of every value: who changed it last, and with which change. The operators' tool
// writes it to name the winner of a conflict; it has no effect on the value.
constexpr std::string_view changeField = "changed";

// Readers of the values that operators write. Each checks the value in full and throws
// CatalogueError at the first fault; a value that was read once is valid.
CatalogueEntry parseCatalogueEntry(const PipelineId& name, const boost::json::value& value);
BackendServer parseBackendServer(const BackendServerId& id, const boost::json::value& value);
ServiceState parseServiceState(const boost::json::value& value);

// Writers of the same values with every field given, also those at their default.
boost::json::value toJson(const CatalogueEntry& entry);
boost::json::value toJson(const BackendServer& server);
boost::json::value toJson(ServiceState state);

}
