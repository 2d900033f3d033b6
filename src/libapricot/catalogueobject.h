#pragma once

#include "libapricot/catalogue.h"

#include <boost/json/value.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Kinds of objects that operators write. Each kind has its own prefix of platform keys.
enum class ObjectKind {
    Pipeline,
    Server,
    Domain,
    Host,
};

constexpr std::array<ObjectKind, 4> objectKinds { ObjectKind::Pipeline, ObjectKind::Server,
    ObjectKind::Domain, ObjectKind::Host };

// Name in catalogue files, such as "pipeline".
std::string_view objectKindName(ObjectKind kind);
std::optional<ObjectKind> findObjectKind(std::string_view name);
// Prefix of the platform keys, such as "catalogue/".
std::string_view keyPrefix(ObjectKind kind);

// An object as an operator writes it in a catalogue file.
struct CatalogueObject {
    ObjectKind kind = ObjectKind::Pipeline;
    std::string name;
    boost::json::value spec;
    // Version on which the operator's change is based, if the file gives one.
    std::optional<ObjectVersion> version;

    bool operator==(const CatalogueObject&) const = default;
};

std::string platformKey(const CatalogueObject& object);

// Validates a value in the same way as the daemons. Throws CatalogueError.
void checkSpec(ObjectKind kind, const std::string& name, const boost::json::value& spec);

// Parses one object or a list of objects, each {"kind","name","spec"} with an optional "version",
// and validates every spec. Throws CatalogueError, whose path contains the index in the list.
std::vector<CatalogueObject> parseCatalogueObjects(const boost::json::value& value);

}
