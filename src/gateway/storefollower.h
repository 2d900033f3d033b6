#pragma once

#include "platform/platformclient.h"

#include <functional>
#include <map>

namespace Apricot {

struct StoreFollowerOptions {
    // Kind of objects to follow, with its slash.
    std::string prefix;
    // How long one watch waits. Keep-alive probes find a connection that went silent meanwhile.
    Milliseconds watchTime { 15'000 };
    // Time between an answer with changes and the next watch, so that changes that come together cost
    // one call.
    Milliseconds gatherTime { 300 };
    // Time between two tries while the store does not answer.
    Milliseconds retryTime { 250 };
};

// Follows the objects of one kind in the store: lists them, then watches for changes, and lists again
// when the store's history no longer reaches back.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const PlatformList&)> listed;
        std::function<void(const PlatformEvent&)> changed;
        // The store stopped to answer, or answers again; with the reason.
        std::function<void(const std::string&)> lost;
        std::function<void()> regained;
    };

    StoreFollower(boost::asio::io_context& context, PlatformClient& store,
        StoreFollowerOptions options, Handlers handlers);

    // Follows for as long as the io_context runs.
    void start();
    bool isLost() const { return m_isLost; }
    const std::string& prefix() const { return m_options.prefix; }
    // Revision of the store up to which the objects are known.
    ObjectVersion revision() const { return m_revision; }
    // The objects as they are known.
    PlatformList list() const;
    // Takes a list that another host has of the store. An older one than is known here is dropped;
    // returns whether it was taken.
    bool absorb(const PlatformList& list);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> readOnce();
    void takeList(const PlatformList& list);
    void takeEvent(const PlatformEvent& event);
    void noteLost(const std::string& reason);
    void noteRegained();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    StoreFollowerOptions m_options;
    Handlers m_handlers;
    ObjectVersion m_revision = 0;
    std::map<std::string, PlatformObject> m_objects;
    bool m_mustList = true;
    bool m_isLost = false;
};

}
