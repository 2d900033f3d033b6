#pragma once

#include "dispatch/peerlink.h"
#include "libapricot/controlview.h"
#include "libapricot/recordtable.h"

#include <optional>

namespace Apricot {

// Puts copies of records on the followers of their keys, and keeps those of other coordinators.
class RecordService {
public:
    RecordService(const ControlViewSource& views, PeerLink& peers, RecordTable& records);

    // Puts a copy on the second or else the third host of its key. An empty answer when this
    // process is the only member; nothing when no follower could be reached.
    boost::asio::awaitable<std::optional<CopyAnswer>> replicate(StoreCopyAction action);
    // Serves a coordinator's copy.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, StoreCopyMessage message);

private:
    boost::asio::awaitable<std::optional<CopyAnswer>> storeAt(
        PeerEndpoint endpoint, const StoreCopyAction& action);

    const ControlViewSource& m_views;
    PeerLink& m_peers;
    RecordTable& m_records;
};

}
