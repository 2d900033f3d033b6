#pragma once

#include "libapricot/poisontable.h"
#include "libserving/servingview.h"
#include "platform/platformclient.h"

#include <functional>
#include <map>
#include <string>

namespace Apricot {

// Exchanges findings about requests that crash servers with the other hosts, through the store: each host
// writes one object and reads those of all hosts. What a process has found therefore outlives it.
class PoisonSync {
public:
    PoisonSync(boost::asio::io_context& context, PlatformClient& store, const ServingView& view,
        PoisonTable& poison, HostId self);

    void start();
    // Writes what the table holds about a fingerprint to this host's object.
    void publish(Fingerprint fingerprint);
    // Whether a refused request has its probation run at this host now; if so, tells the other hosts.
    bool tryStartProbation(Fingerprint fingerprint);
    void applyList(const PlatformList& list);
    void applyEvent(const PlatformEvent& event);
    // Called when another host's findings have changed the state of a request.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct KnownObject {
        ObjectVersion version = 0;
        TimePoint changedAt {};
    };

    // Whether this host ranks first for a key among all hosts.
    bool ranksFirstFor(const std::string& key) const;
    void applyObject(const PlatformObject& object);
    void removeExpired(TimePoint now);
    void scheduleWrite();
    boost::asio::awaitable<void> writeUntilStored();
    boost::asio::awaitable<bool> writeOnce();
    boost::asio::awaitable<void> cleanUp();
    boost::asio::awaitable<void> removeAbandoned();
    std::vector<PoisonNotice> ownNotices() const;

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    const ServingView& m_view;
    PoisonTable& m_poison;
    HostId m_self;
    std::string m_ownKey;
    std::function<void()> m_changeHandler;
    // Fingerprints in this host's object, and when they expire there.
    std::map<Fingerprint, TimePoint> m_published;
    std::map<std::string, KnownObject> m_objects;
    // The objects were listed, so an object of an earlier process of this host is known.
    bool m_isListed = false;
    bool m_isWriting = false;
    bool m_mustWrite = false;
};

}
