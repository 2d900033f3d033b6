#pragma once

#include "emulator/platform/objectstore.h"
#include "libapricot/cellmembership.h"
#include "libapricot/configstore.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

// Simulates the members of a cell and the platform's object store on a paused clock. Injects random
// faults: members crash or freeze, hosts are cut off from the platform or from their peers, and the
// platform is down, loses responses to writes or serves stale reads.
class CellSimulation {
public:
    struct Options {
        int hostCount = 5;
        int serverCount = 6;
        std::uint64_t seed = 1;
        Apricot::Milliseconds faultDuration { 60000 };
        Apricot::Milliseconds recoveryDuration { 40000 };
    };

    explicit CellSimulation(Options options);
    ~CellSimulation();

    // Runs with faults, then without. Returns the first violation, or an empty string.
    std::string run();

private:
    struct Node {
        Apricot::HostId host;
        int startCount = 0;
        bool isAlive = false;
        bool isHostGone = false;
        bool isCutFromPlatform = false;
        bool isCutFromPeers = false;
        // Last time at which a check found the node cut off from the platform.
        Apricot::TimePoint lastCutFromPlatformAt {};
        Apricot::TimePoint frozenUntil {};
        Apricot::TimePoint nextTickAt {};
        Apricot::TimePoint nextHeartbeatAt {};
        Apricot::TimePoint nextConfigReadAt {};
        std::unique_ptr<Apricot::CellMembership> membership;
        std::unique_ptr<Apricot::ConfigStore> config;
        Apricot::ObjectVersion highestEpoch = 0;
        Apricot::ObjectVersion highestConfigVersion = 0;
        // Epoch of each replica's assignment, and when the node first saw it acknowledged.
        std::map<Apricot::BackendServerId, std::pair<Apricot::ObjectVersion, Apricot::TimePoint>>
            acknowledgedHomes;
    };

    struct Delivery {
        std::size_t nodeIndex = 0;
        int startCount = 0;
        std::function<void(Node&)> handle;
    };

    Apricot::TimePoint now() const { return Apricot::RuntimeClock::now(); }
    int drawBelow(int bound);
    bool chance(int oneIn) { return drawBelow(oneIn) == 0; }
    Apricot::Duration drawDelay();
    void startNode(Node& node);
    void schedule(
        const Node& node, Apricot::Duration delay, std::function<void(Node&)> handle);
    void step();
    void handleDueDeliveries();
    void runNode(Node& node);
    void perform(Node& node, const Apricot::CellAction& action);
    void readCell(const Node& node);
    void writeCell(const Node& node, const Apricot::WriteCell& write);
    void commitWrite(const Node& node, const Apricot::WriteCell& write, Apricot::TimePoint startedAt);
    void sendHeartbeat(Node& node, const Apricot::Member& peer);
    void readConfig(const Node& node);
    void fetchConfig(Node& node, std::size_t peerIndex);
    Node* findNode(const Apricot::HostId& host);
    bool canCommunicate(const Node& left, const Node& right) const;
    void injectFaults();
    bool canMajorityReachPlatform(const Node& node);
    void endFaults();
    void changeDomainState();
    bool isFrozen(const Node& node) const { return now() < node.frozenUntil; }
    bool isPermitted(const Node& node) const;
    bool isAwaitingPredecessor(const Node& node, const Apricot::HomeAssignment& home) const;
    void recordAcknowledgedHomes(Node& node);
    void checkInvariants();
    void checkHomes();
    void checkNode(Node& node);
    void checkRecovery();
    void recordViolation(const std::string& violation);

    Options m_options;
    std::mt19937_64 m_random;
    Apricot::ObjectStore m_store;
    std::vector<Node> m_nodes;
    std::multimap<Apricot::TimePoint, Delivery> m_deliveries;
    Apricot::TimePoint m_outageUntil {};
    bool m_areReadsStale = false;
    Apricot::TimePoint m_lastStaleReadAt {};
    bool m_areWriteResponsesLost = false;
    Apricot::ObjectVersion m_domainVersion = 0;
    Apricot::TimePoint m_domainChangedAt {};
    std::string m_violation;
};
