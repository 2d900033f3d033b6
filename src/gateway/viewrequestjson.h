#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/clock.h"

#include <map>
#include <string>

namespace Apricot {

// A host's question to a peer for the changes of the view that it is missing.
struct ViewRequest {
    // What the host knows of one kind of objects.
    struct Entry {
        ObjectVersion revision = 0;
        // Whether the response may contain objects; otherwise the host reads them from the store.
        bool withObjects = true;
        // Time since the objects were known to be current.
        Milliseconds age = Milliseconds::max();

        auto operator<=>(const Entry&) const = default;
    };

    // By prefix.
    std::map<std::string, Entry> entries;
    // How long the peer may wait for changes before it responds.
    Milliseconds wait { 0 };

    bool operator==(const ViewRequest&) const = default;
};

std::string toJson(const ViewRequest& request);
// Throws an exception for anything but a request. Requests of earlier builds have neither ages nor a wait; fields that
// later ones add are ignored.
ViewRequest readViewRequest(const std::string& text);

}
