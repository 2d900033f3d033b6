#pragma once

#include "dispatch/peerlink.h"
#include "libapricot/controlview.h"
#include "libapricot/recordtable.h"

#include <optional>
#include <vector>

namespace Apricot {

// Puts copies of records on the followers of their keys, and keeps those of other coordinators.
class RecordService {
public:
    RecordService(const ControlViewSource& views, PeerLink& peers, RecordTable& records);

    // Puts a copy on the second or else the third host of its key; on both when this process begins
    // to run a request whose key it may not know all about. Gives the answers, which are none when
    // no follower could be reached, and one empty answer when this process is the only member.
    boost::asio::awaitable<std::vector<CopyResponse>> replicate(StoreCopyAction action);
    // Serves a coordinator's copy.
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
