#pragma once

#include "gateway/rollout/rolloutobserver.h"
#include "gateway/storecallcounter.h"
#include "libnet/asyncevent.h"
#include "libnet/peerstream.h"
#include "libserving/relaytree.h"
#include "libserving/rollout/rolloutplan.h"
#include "platform/platformclient.h"

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <set>

namespace Apricot {

// Brings roll-outs to an end together with the other hosts. Each host reports what it observed to a host above it in the
// relay tree, which adds the reports of all hosts below it; the first host that is reached acts on them. Every host can
// act: each step is a write to the order's object in the store that is conditional on what was read there, so hosts that
// act at the same time, or act late, cannot undo a step.
class RolloutSync {
public:
    RolloutSync(boost::asio::io_context& context, ServingView& view, RolloutObserver& observer, PlatformClient& store,
        StoreCallCounter& calls, PeerClient& peers, HostId self, MetricRegistry& metrics);

    void start();
    // Applies the reports of a peer. Returns the findings about these orders.
    std::string respondTo(const std::string& reports);

    // Topic of the reports between hosts.
    static constexpr const char* topic = "rollout";

private:
    // The last report of a host below this one, as far as it speaks of the present.
    struct Present {
        std::size_t hosts = 1;
        std::size_t shiftedHosts = 0;
        std::size_t inFlightAtReplaced = 0;
        std::optional<std::string> fault;
        TimePoint receivedAt {};
    };
    // What this host has gathered about an order as the acting one.
    struct Gathered {
        RolloutEvidence all;
        std::deque<std::pair<TimePoint, RolloutEvidence>> recent;
        bool isWriting = false;
    };

    boost::asio::awaitable<void> run();
    // Whether a roll-out is in progress, or the store has to be told again how one ended.
    bool hasWork() const;
    boost::asio::awaitable<void> reportOnce();
    // Hosts to report to in turn. This host itself stands where it acts.
    std::vector<HostId> receivers() const;
    // Returns whether the host received the reports.
    boost::asio::awaitable<bool> sendReports(HostId receiver, std::string reports);
    void applyFindings(const std::string& text, const HostId& source);
    // Adds the reports received from hosts below.
    void addReceived(std::vector<RolloutReport>& reports);
    // Writes final states that the store has lost, because it came back from an older copy.
    void restoreFinalStates();
    void startWrite(RolloutStatus status, std::uint64_t revision);
    void act(const std::vector<RolloutReport>& reports);
    RolloutFacts factsOf(const RolloutRouting::Known& known, const RolloutReport& report, Gathered& gathered) const;
    boost::asio::awaitable<void> write(RolloutStatus status, std::uint64_t revision);
    void logWrite(const RolloutStatus& status, std::uint64_t revision, std::string_view outcome) const;

    boost::asio::io_context& m_context;
    ServingView& m_view;
    RolloutObserver& m_observer;
    PlatformClient& m_store;
    StoreCallCounter& m_calls;
    PeerClient& m_peers;
    HostId m_self;
    Gauge& m_reporters;
    AsyncEvent m_changed;
    // Evidence received from hosts below and not passed on yet.
    std::map<RolloutOrder, RolloutEvidence> m_received;
    std::map<RolloutOrder, std::map<HostId, Present>> m_present;
    std::map<RolloutOrder, Gathered> m_gathered;
};

}
