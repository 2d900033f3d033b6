#pragma once

#include "emulator/platform/objectstore.h"
#include "libapricot/cellmembership.h"
#include "libapricot/configstore.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

// Members of a cell on a paused clock with a small platform between them. Faults come at random: a
// member dies or freezes, hosts are cut off, the platform is down, loses answers or reads are stale.
class CellSimulation {
public:
    struct Options {
        int hosts = 5;
        int servers = 6;
        std::uint64_t seed = 1;
        Apricot::Milliseconds faultTime { 60000 };
        Apricot::Milliseconds calmTime { 40000 };
    };

    explicit CellSimulation(Options options);
    ~CellSimulation();

    // Runs with faults, then without. Returns what was violated, empty when nothing was.
    std::string run();

private:
    struct Node {
        Apricot::HostId host;
        int starts = 0;
        bool isAlive = false;
        bool isHostGone = false;
        bool isCutFromPlatform = false;
        bool isCutFromPeers = false;
        // Last instant at which the node was seen cut off from the platform.
        Apricot::TimePoint cutAt {};
        Apricot::TimePoint frozenUntil {};
        Apricot::TimePoint tickAt {};
        Apricot::TimePoint askAt {};
        Apricot::TimePoint configAt {};
        std::unique_ptr<Apricot::CellMembership> membership;
        std::unique_ptr<Apricot::ConfigStore> config;
        Apricot::ObjectVersion highestEpoch = 0;
        Apricot::ObjectVersion highestConfig = 0;
        // When the epoch that assigned each replica was first known to be acknowledged.
        std::map<Apricot::BackendServerId, std::pair<Apricot::ObjectVersion, Apricot::TimePoint>>
            acknowledged;
    };

    struct Delivery {
        std::size_t node = 0;
        int start = 0;
        std::function<void(Node&)> deliver;
    };

    Apricot::TimePoint now() const { return Apricot::RuntimeClock::now(); }
    int pick(int below);
    bool chance(int oneIn) { return pick(oneIn) == 0; }
    Apricot::Duration delay();
    void start(Node& node);
    void later(
        const Node& node, Apricot::Duration after, std::function<void(Node&)> deliver);
    void step();
    void deliverDue();
    void act(Node& node);
    void perform(Node& node, const Apricot::CellAction& action);
    void read(const Node& node);
    void write(const Node& node, const Apricot::WriteCell& write);
    void store(const Node& node, const Apricot::WriteCell& write, Apricot::TimePoint begunAt);
    void ask(Node& node, const Apricot::Member& peer);
    void readConfig(const Node& node);
    void fetchConfig(Node& node, std::size_t from);
    Node* findNode(const Apricot::HostId& host);
    bool canTalk(const Node& left, const Node& right) const;
    void injectFaults();
    bool couldHearOfPlatform(const Node& node);
    void endFaults();
    void changeDomain();
    bool isFrozen(const Node& node) const { return now() < node.frozenUntil; }
    bool isPermitted(const Node& node) const;
    bool isWaiting(const Node& node, const Apricot::HomeAssignment& home) const;
    void noteAcknowledged(Node& node);
    void check();
    void checkHomes();
    void checkNode(Node& node);
    void checkRecovery();
    void violate(const std::string& what);

    Options m_options;
    std::mt19937_64 m_random;
    Apricot::ObjectStore m_store;
    std::vector<Node> m_nodes;
    std::multimap<Apricot::TimePoint, Delivery> m_deliveries;
    Apricot::TimePoint m_outageUntil {};
    bool m_areReadsStale = false;
    Apricot::TimePoint m_staleAt {};
    bool m_areAnswersLost = false;
    Apricot::ObjectVersion m_domainVersion = 0;
    Apricot::TimePoint m_domainChangedAt {};
    std::string m_violation;
};
