#pragma once

#include "hostlinks.h"
#include "scriptedserver.h"

#include "emulator/platform/platformserver.h"
#include "gateway/gatewaydaemon.h"
#include "platform/platformclient.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// One run of a request or of a call of stages at a scripted backend server.
struct ScriptedRun {
    std::string pool;
    std::string server;
    Apricot::TimePoint startedAt {};
    // Body of the request, or the piece keys of the call.
    std::string content;
    bool endedServer = false;
};

// A request or call that a server turned away, asking for rest.
struct TurnedAway {
    std::string server;
    std::string content;
    Apricot::TimePoint at {};
    std::string rest;
};

// A request of a caller of the cluster.
struct ClusterRequest {
    std::string path;
    std::string content;
    // Fields beside those that every request has.
    std::vector<Apricot::HttpField> fields {};
    // Time after which the caller disconnects.
    Apricot::Milliseconds patience { 8000 };
};

// A response to a caller of the cluster; status zero if its connection ended without one.
struct ClusterResponse {
    std::string content;
    // ID of the attempt.
    std::string id;
    Apricot::TimePoint sentAt {};
    int status = 0;
    // Body as far as it was received, and whether it reached the end that its framing declares.
    std::string body;
    // Retry-After in seconds, or empty.
    std::string retryAfter {};
    bool isComplete = false;
    bool hasEnded = false;
};

// How far the response of a server has come when a prompt part ends it.
enum class FatalMoment {
    BeforeHead,
    AfterHead,
    InsideEvent,
    AfterEvent,
};

// Room of a server for requests. It turns others away, and ends if it has to turn away more than `brittleLimit` within
// a second.
struct ServerRoom {
    std::size_t slots = 4;
    std::size_t waiting = 4;
    int brittleLimit = 0;
};

// How often the hosts of a cluster may send a request again.
enum class ClusterRetries {
    AsConfigured,
    // Whenever a request of a test needs it, soon after a start too.
    Allowed,
    Never,
};

// The gateway daemons of several hosts, the platform emulator as their store, and scripted backend
// servers: a request or piece whose content contains the word "poison", or a request with a fatal prompt part,
// ends its server, which comes back later as another one at the same address. Each daemon has its own event loop; all run on this thread.
class GatewayCluster {
public:
    // Orders to roll out versions are followed only with a share above zero.
    explicit GatewayCluster(std::size_t hosts, ClusterRetries retries = ClusterRetries::AsConfigured, double rolloutShare = 0);
    ~GatewayCluster();

    GatewayCluster(const GatewayCluster&) = delete;
    GatewayCluster& operator=(const GatewayCluster&) = delete;

    // Adds backend servers to one of the pools "plain", "engines" and "stages".
    void addServers(const std::string& pool, int count);
    // Adds a backend server of a software version whose responses follow a script.
    void addScriptedServer(
        const std::string& pool, const std::string& version, ResponseScript script,
        ResponseStart start = ResponseStart::AfterRequest);
    // Removes the scripted servers of a version from the store.
    void removeScriptedServers(const std::string& version);
    // Runs until the hosts are ready to serve callers. Fails the test after ten seconds.
    void waitUntilReady();
    // Whether a host tells the balancer that it is ready.
    bool isReady(std::size_t host);
    void runFor(Apricot::Milliseconds time);
    // Runs until a condition holds, or for a time at most.
    void runUntil(const std::function<bool()>& isDone, Apricot::Milliseconds timeout);
    // Sends a caller's request to a host, without waiting for the response.
    void send(std::size_t host, const std::string& path, const std::string& content);
    void send(std::size_t host, const ClusterRequest& request);
    // Sends a caller's request to a host, and runs until its response has ended.
    ClusterResponse call(std::size_t host, const ClusterRequest& request);
    // Sends a message to a host as a peer does.
    void sendToPeer(std::size_t host, Apricot::Message message);
    // Ends the process of a host at once, and starts it again.
    void restartHost(std::size_t host);
    // Ends the process of a host at once. The store still lists the host.
    void killHost(std::size_t host);
    // Cuts the links of a host to the backend servers of a pool, or to all of them, or restores them.
    void cutLinks(std::size_t host, LinkFault fault, const std::string& pool = "");
    // Suspends the process of a host, or resumes it.
    void setSuspended(std::size_t host, bool isSuspended);
    // Number of connections that a host opened to backend servers since its links were last cut or restored.
    std::size_t connectionsFrom(std::size_t host) const;
    // Ends one backend server of a pool, by its position, if it is up.
    void endServer(const std::string& pool, std::size_t position);
    // Ends all backend servers of a pool at the same time.
    void endServers(const std::string& pool);
    // Breaks the caller connections of all backend servers of a pool; the servers continue.
    void resetConnections(const std::string& pool);
    std::string serverId(const std::string& pool, std::size_t position);
    // Writes a server's entry in the state "ready" or "draining", with the number of its report. Returns its ID.
    std::string reportServer(
        const std::string& pool, std::size_t position, const std::string& state, int sequence);
    // Removes a server's entry; the server continues. Returns its ID.
    std::string removeServer(const std::string& pool, std::size_t position);
    // Writes or removes an object of the store.
    void writeObject(const std::string& key, boost::json::value value);
    // The same; returns whether the store has acknowledged the write in time.
    bool tryWriteObject(const std::string& key, boost::json::value value);
    void removeObject(const std::string& key);
    // What the system has written about an object; null if nothing.
    boost::json::value statusOf(const std::string& key);
    // Sets the faults of the store; takes the JSON body of POST /faults.
    void setStoreFaults(const std::string& faults);
    // Number of calls that the store has received: "reads", "stale_reads", "watches" or "writes".
    std::size_t storeCalls(const std::string& kind);
    // Text of a host's metrics.
    std::string metricsOf(std::size_t host);
    // Sum of a metric of a host over all its labels; not set if the host has none of this name.
    std::optional<double> metricOf(std::size_t host, const std::string& name);

    // Time between the end of a server and its return.
    Apricot::Milliseconds serverDownTime { 2000 };
    // Whether connections to servers are forwarded, so that cutLinks() affects those that are open.
    bool forwardsLinks = false;
    // Time that a run of an ordinary request takes.
    Apricot::Milliseconds runTime { 30 };
    // Whether servers close their connections after each complete response that is no stream.
    bool closesConnections = false;
    // ID of a prompt part that ends each engine as it begins to respond, and how far the responses come by then,
    // in turn.
    std::string fatalPart;
    std::vector<FatalMoment> fatalMoments { FatalMoment::BeforeHead };
    // Limits that servers name in their responses, by server.
    std::map<std::string, std::string> limits;
    // Room of each plain server, and the number of servers that ended because they turned away too many.
    std::optional<ServerRoom> room;
    int falls = 0;
    // Rest that servers ask for, by server, as they turn away what they get.
    std::map<std::string, std::string> rests;
    std::vector<TurnedAway> turnedAway;
    // Servers that say in their responses that they leave.
    std::set<std::string> leaving;
    std::vector<ScriptedRun> runs;
    // Number of runs whose connection was closed before their response.
    std::size_t abandonedRuns = 0;
    std::vector<ClusterResponse> responses;

    // Runs whose content contains a word.
    std::vector<ScriptedRun> runsOf(const std::string& word) const;
    // Runs of a request after a time since it ended this number of servers.
    std::size_t runsAfterEnds(std::size_t ends, const std::string& word, Apricot::Milliseconds time) const;
    // Number of runs that began at a server after a time.
    std::size_t runsAt(const std::string& server, Apricot::TimePoint from) const;
    // Largest number of runs at a server within a time, counted after another time.
    std::size_t mostRunsWithin(
        Apricot::Milliseconds window, const std::string& server, Apricot::TimePoint from) const;
    // Number of responses with a status, to requests whose content contains a word.
    std::size_t countResponses(const std::string& word, int status) const;

private:
    struct BackendServer;
    struct Host;

    Apricot::HttpResponse responseAt(std::uint16_t port, const std::string& target);
    // Body of the response to GET.
    std::string textAt(std::uint16_t port, const std::string& target);
    void startServer(BackendServer& server);
    void endServer(BackendServer& server);
    boost::asio::awaitable<void> serve(BackendServer& server, Apricot::HttpExchange& exchange);
    // Responds once a server with little room has run a request, or turns it away.
    boost::asio::awaitable<void> serveInRoom(BackendServer& server, Apricot::HttpExchange& exchange);
    boost::asio::awaitable<void> serveStageCall(
        BackendServer& server, Apricot::HttpExchange& exchange);
    // Records a run. Returns false if it ended the server.
    bool recordRun(BackendServer& server, const std::string& content);
    // Responds up to a moment, and ends the server.
    boost::asio::awaitable<void> endWhileResponding(
        BackendServer& server, Apricot::HttpExchange& exchange, FatalMoment moment);
    boost::asio::awaitable<void> returnLater(BackendServer& server);
    boost::asio::awaitable<void> writeEntry(std::string key, boost::json::value value);
    boost::asio::awaitable<void> removeEntry(std::string key, Apricot::Milliseconds delay);
    // Returns the index of the response.
    std::size_t startCall(std::size_t host, const ClusterRequest& request);
    boost::asio::awaitable<void> callHost(std::uint16_t port, Apricot::HttpCall call, std::size_t index);
    // Fields of a server's response, with the limit that it names.
    std::vector<Apricot::HttpField> fieldsOf(
        const BackendServer& server, const Apricot::HttpRequest& request) const;
    void registerServer(const BackendServer& server, const std::string& version);
    boost::json::value entryOf(
        const BackendServer& server, const std::string& version, const std::string& state) const;
    BackendServer& serverAt(const std::string& pool, std::size_t position);
    Apricot::GatewaySettings settingsFor(std::size_t host) const;
    bool isServerUp(std::uint16_t port) const;

    boost::asio::io_context m_context;
    Apricot::PlatformServer m_platform { m_context, {} };
    Apricot::PlatformClient m_store { m_context, { .port = m_platform.port() } };
    Apricot::PeerClient m_peers { m_context };
    ClusterRetries m_retries;
    double m_rolloutShare;
    std::vector<std::unique_ptr<BackendServer>> m_servers;
    std::vector<std::unique_ptr<ScriptedServer>> m_scriptedServers;
    // Keys of their entries by version.
    std::multimap<std::string, std::string> m_scriptedEntries;
    std::vector<std::unique_ptr<Host>> m_hosts;
    int m_nextServer = 1;
    int m_nextRequest = 1;
    int m_nextHandle = 1;
};
