#pragma once

#include "libapricot/catalogueobject.h"
#include "platform/platformclient.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// Author of a change. Stored with every value, so that the error of a conflict can name the author of
// the other change.
struct ChangeAuthor {
    std::string name;

    auto operator<=>(const ChangeAuthor&) const = default;
};

// Blocking access to the platform's objects. Throws CommandError if the platform can't be reached or
// the outcome of a write is unknown.
class PlatformStore {
public:
    PlatformStore(PlatformClientOptions options, ChangeAuthor author);

    std::optional<PlatformObject> get(const std::string& key);
    std::vector<PlatformObject> list(const std::string& prefix);
    // Writes a spec if the object's version is still ifVersion, and returns the new version. Throws
    // CommandError with ExitCode::Conflict, naming both versions and the author of the other change.
    ObjectVersion put(const std::string& key, const boost::json::value& spec, ObjectVersion ifVersion);
    // Deletes the object if its version is still ifVersion; otherwise throws like put().
    void remove(const std::string& key, ObjectVersion ifVersion);

private:
    PlatformClientOptions m_options;
    ChangeAuthor m_author;
};

// Returns a stored value without the field that identifies its last change.
boost::json::value withoutChangeField(const boost::json::value& value);
// Returns the author of a stored value's last change, or "unknown" if the value names none.
std::string changedBy(const boost::json::value& value);

}
