#pragma once

#include "libapricot/catalogue.h"

#include <boost/json/value.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// Kinds of object that operators write. Each has a prefix of platform keys of its own.
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
    // Version that the operator's change is based on, when the file gives one.
    std::optional<ObjectVersion> version;

    bool operator==(const CatalogueObject&) const = default;
};

std::string platformKey(const CatalogueObject& object);

// Checks a value as the daemons do. Throws CatalogueError.
void checkSpec(ObjectKind kind, const std::string& name, const boost::json::value& spec);

// Reads one object or a list of them, each {"kind","name","spec"} with an optional "version", and
// checks every spec. Throws CatalogueError, with the place in the list in its path.
std::vector<CatalogueObject> parseCatalogueObjects(const boost::json::value& value);

}
