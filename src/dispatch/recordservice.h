#pragma once

#include "dispatch/peerlink.h"
#include "libapricot/controlview.h"
#include "libapricot/recordtable.h"

#include <optional>
#include <vector>

namespace Apricot {

// Sends copies of records to the followers of their keys, and stores copies for other coordinators.
class RecordService {
public:
    RecordService(const ControlViewSource& views, PeerLink& peers, RecordTable& records);

    // Sends a copy to the second host in the key's ranking, or to the third if the second doesn't
    // respond. Sends it to both when this process starts to run a request and may lack information
    // about its key (see RecordCoverage). Returns the responses: none if no follower could be
    // reached, and a single empty one if this process is the only member.
    boost::asio::awaitable<std::vector<CopyResponse>> replicate(StoreCopyAction action);
    // Stores a copy sent by another coordinator.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, StoreCopyMessage message);

private:
    boost::asio::awaitable<std::optional<CopyResponse>> storeAt(
        PeerEndpoint endpoint, const StoreCopyAction& action);

    const ControlViewSource& m_views;
    PeerLink& m_peers;
    RecordTable& m_records;
};

}
