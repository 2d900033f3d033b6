#pragma once

#include "libapricot/catalogueobject.h"
#include "platform/platformclient.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// Who makes a change; stored with every value, so that the loser of a conflict learns who won.
struct ChangeAuthor {
    std::string name;

    auto operator<=>(const ChangeAuthor&) const = default;
};

// The platform's objects as the tool sees them: each call waits for its answer. Throws CommandError
// when the platform can't be reached or the outcome of a write stays unknown.
class PlatformStore {
public:
    PlatformStore(PlatformClientOptions options, ChangeAuthor author);

    std::optional<PlatformObject> get(const std::string& key);
    std::vector<PlatformObject> list(const std::string& prefix);
    // Writes a spec if the object's version is still ifVersion, and returns the new version. Throws
    // CommandError with ExitCode::Conflict, naming both versions and who made the other change.
    ObjectVersion put(const std::string& key, const boost::json::value& spec, ObjectVersion ifVersion);
    // Deletes the object at this version, or throws like put().
    void remove(const std::string& key, ObjectVersion ifVersion);

private:
    PlatformClientOptions m_options;
    ChangeAuthor m_author;
};

// A stored value without the field that names its change.
boost::json::value withoutChangeField(const boost::json::value& value);
// Who made the change that stands in a stored value; "unknown" when it doesn't say.
std::string changedBy(const boost::json::value& value);

}
