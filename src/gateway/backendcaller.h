#pragma once

#include "gateway/requestscope.h"
#include "libserving/servertracker.h"
#include "libserving/servingview.h"

#include <map>

namespace Apricot {

// How one send of a request to one backend server ended, up to the header of its answer.
enum class SendOutcome {
    // A signed answer has begun.
    Answered,
    // Nothing was sent.
    NotSent,
    // The server did not run it and never will.
    NotRun,
    // It may have run: the connection broke, or what came was no answer of the server.
    Broken,
    // It may have run: nothing came in the time given.
    TimedOut,
    // The request's scope has ended.
    Cancelled,
};

struct SendResult {
    SendOutcome outcome = SendOutcome::NotSent;
    // Of an answer that has begun.
    std::unique_ptr<HttpStream> stream;
    // Status of an answer that says the request did not run, or zero.
    int status = 0;
};

// Sends requests and pieces to backend servers, over kept connections, and never to one that may get
// no new work.
class BackendCaller {
public:
    BackendCaller(boost::asio::io_context& context, ServingView& view, ServerTracker& tracker);

    // Sends a caller's request. The time is the longest wait for the answer's header; the server is
    // told what is left of the caller's time.
    boost::asio::awaitable<SendResult> send(const ServedRequest& request, ServerEntry server,
        std::vector<std::string> inputs, std::string lastEventId, Milliseconds timeout);
    // Makes a call of the system's own; throws like HttpClient, and when the server may get no work.
    boost::asio::awaitable<HttpResponse> call(ServerEntry server, HttpCall call);
    // Makes a call that gives no new work, such as the release of results.
    boost::asio::awaitable<HttpResponse> callWithoutCheck(Endpoint endpoint, HttpCall call);

    ServerTracker& tracker() { return m_tracker; }
    // Forgets servers that are no longer known, and closes their connections.
    void removeUnknownServers();

private:
    std::shared_ptr<HttpClient> clientFor(const Endpoint& endpoint);
    bool mayReceiveWork(const ServerEntry& server);
    SendResult classify(std::unique_ptr<HttpStream> stream) const;

    boost::asio::io_context& m_context;
    ServingView& m_view;
    ServerTracker& m_tracker;
    std::map<Endpoint, std::shared_ptr<HttpClient>> m_clients;
};

}
