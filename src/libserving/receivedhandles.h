#pragma once

#include "libserving/crashdetector.h"
#include "libserving/stagework.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

// Recognises a response of a stage server that arrives a second time. Calls of stage servers have no ID that a
// response would name, but a server gives out each handle of a result once.
class ReceivedHandles {
public:
    // Records a response by its first handle. Returns false if the same response was recorded before.
    bool record(const ServerStart& server, const std::vector<PieceResult>& results);
    // Removes the servers that are not registered.
    void retain(const ServerDirectory& servers);

private:
    // First handles of the last responses of each server, the newest at the end.
    std::map<ServerStart, std::deque<std::string>> m_firstHandles;
};

}
