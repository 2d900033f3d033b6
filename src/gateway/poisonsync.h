#pragma once

#include "gateway/storecallcounter.h"
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
    PoisonSync(boost::asio::io_context& context, PlatformClient& store, StoreCallCounter& calls,
        const ServingView& view, PoisonTable& poison, HostId self);

    void start();
    // Writes what the table holds about these fingerprints to this host's object. Logs what has changed by this
    // host's findings.
    void publish(const std::vector<Fingerprint>& fingerprints);
    // Whether refused subjects of a request have a probation run at this host now; if so, tells the other hosts.
    bool tryStartProbation(const std::vector<PoisonSubject>& refused);
    void applyList(const PlatformList& list);
    void applyEvent(const PlatformEvent& event);
    // Called when the state of a request or part has changed.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct KnownObject {
        ObjectVersion version = 0;
        TimePoint changedAt {};
    };

    // Position of this host among all hosts in their order for a key; not set if this host is not listed.
    std::optional<std::size_t> rankFor(const std::string& key) const;
    // Logs changes of states with the source of the finding.
    void reportChanges(const std::string& source, ObjectVersion revision);
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
    StoreCallCounter& m_calls;
    const ServingView& m_view;
    PoisonTable& m_poison;
    HostId m_self;
    std::string m_ownKey;
    std::function<void()> m_changeHandler;
    TimePoint m_writtenAt {};
    // Fingerprints in this host's object, and when they expire there.
    std::map<Fingerprint, TimePoint> m_published;
    std::map<std::string, KnownObject> m_objects;
    // The objects were listed, so an object of an earlier process of this host is known.
    bool m_isListed = false;
    bool m_isWriting = false;
    bool m_mustWrite = false;
};

}
