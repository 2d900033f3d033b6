#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/jsonfields.h"

#include <boost/json/value.hpp>

#include <string_view>

namespace Apricot {

// Maximum deadline of a catalogue entry.
constexpr Milliseconds deadlineLimit { 120'000 };
// Maximum number of stages in a pipeline.
constexpr std::size_t stageCountLimit = 16;

// Names used in the catalogue's JSON, such as "generate" and "urgent".
std::string_view stageKindName(StageKind kind);
std::string_view serviceClassName(ServiceClass serviceClass);
std::string_view serviceStateName(ServiceState state);

// Optional field of every value: who made the last change, and the id of that change. The
// operators' tool writes it in order to report who won a write conflict; it does not affect the
// value.
constexpr std::string_view changeField = "changed";

// Parsers for the values that operators write. Each validates the complete value and throws
// CatalogueError for the first error, so a parsed value is always valid.
CatalogueEntry parseCatalogueEntry(const PipelineId& name, const boost::json::value& value);
BackendServer parseBackendServer(const BackendServerId& id, const boost::json::value& value);
ServiceState parseServiceState(const boost::json::value& value);

// Serialize the same values with all fields, including those at their default.
boost::json::value toJson(const CatalogueEntry& entry);
boost::json::value toJson(const BackendServer& server);
boost::json::value toJson(ServiceState state);

}
