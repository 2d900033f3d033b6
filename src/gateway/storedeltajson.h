#pragma once

#include "gateway/storefollower.h"

#include <map>
#include <string>

namespace Apricot {

// The changes that a peer sent, by kind of objects.
struct PeerDeltas {
    struct Entry {
        StoreDelta delta;
        // Whether the objects are included, and not only the revision and its age.
        bool hasObjects = false;
    };

    std::map<std::string, Entry> entries;
    // Kinds whose changes cannot be read, with the reason.
    std::map<std::string, std::string> rejected;
};

boost::json::value toJson(const StoreDelta& delta, bool withObjects);
// Reads the changes of each kind for itself. Throws std::exception if the text as a whole is malformed.
PeerDeltas readPeerDeltas(const std::string& text);

}
