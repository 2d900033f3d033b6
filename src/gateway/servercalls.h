#pragma once

#include "gateway/backendlinks.h"
#include "gateway/relayclient.h"

namespace Apricot {

// Makes calls to backend servers over persistent connections, or through a peer while the link to a server is lost.
class ServerCalls {
public:
    ServerCalls(boost::asio::io_context& context, BackendLinks& links, RelayClient& relays);

    // Sends a call, and returns once the header of its response has arrived. Like HttpClient::open(), but throws
    // CallNotSentError if nothing was sent.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> open(CallTarget target, HttpCall call, HttpSendGate gate);
    // The same over the link of this host alone. The call is unchanged if nothing was sent.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> openDirect(
        Endpoint server, std::shared_ptr<HttpCall> call, HttpSendGate gate);

    // Closes the idle connections to a server, on which responses to earlier calls may still arrive.
    void closeIdleConnections(const Endpoint& server);
    // Removes the connections to all servers but these.
    void retain(const std::set<Endpoint>& servers);
    BackendLinks& links() { return m_links; }

private:
    std::shared_ptr<HttpClient> clientFor(const Endpoint& server);

    boost::asio::io_context& m_context;
    BackendLinks& m_links;
    RelayClient& m_relays;
    std::map<Endpoint, std::shared_ptr<HttpClient>> m_clients;
};

}
