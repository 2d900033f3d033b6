#pragma once

#include "gateway/storefollower.h"

#include <map>
#include <optional>
#include <string>

namespace Apricot {

// The changes that a peer sent, by kind of objects.
struct PeerDeltas {
    struct Entry {
        StoreDelta delta;
        // Whether the objects are included, and not only the revision and its age.
        bool hasObjects = false;
        // Time for which the peer had the request before it responded; not set by earlier builds.
        std::optional<Milliseconds> heldFor {};
    };

    std::map<std::string, Entry> entries;
    // Kinds whose changes cannot be read, with the reason.
    std::map<std::string, std::string> rejected;
};

boost::json::value toJson(const StoreDelta& delta, bool withObjects, Milliseconds heldFor);
// Reads the changes of each kind for itself. Throws std::exception if the text as a whole is malformed.
PeerDeltas readPeerDeltas(const std::string& text);

}
