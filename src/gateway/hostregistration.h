#pragma once

#include "gateway/storecallcounter.h"
#include "libserving/servingview.h"
#include "platform/platformclient.h"

namespace Apricot {

// Prefix of the entries by which hosts of the system find each other.
inline constexpr std::string_view hostsPrefix = "apricot-hosts/";

// The host of an entry, or nothing if it is not readable.
std::optional<PeerHost> readHost(const boost::json::value& value);

// Writes the entry of this host to the store, until the host leaves.
class HostRegistration {
public:
    HostRegistration(boost::asio::io_context& context, PlatformClient& store, StoreCallCounter& calls, HostId self,
        PeerHost entry);

    void start();
    // The store or a peer shows whether it has the entry of this host. Writes the entry again if it is missing: a removal
    // by an earlier process of this host may be done after this process has found the entry.
    void onEntryShown(bool isListed);
    // Removes the entry, so that other hosts stop relying on this one.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> registerHost();
    // Returns whether the store has the entry.
    boost::asio::awaitable<bool> writeEntry();
    // Returns whether a write of the entry took effect.
    bool recordWrite(const WriteResult& result);

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    StoreCallCounter& m_calls;
    std::string m_key;
    PeerHost m_entry;
    // Revision of the entry as last written or found.
    std::optional<ObjectVersion> m_revision;
    bool m_isRegistered = false;
    bool m_isLeaving = false;
};

}
