#pragma once

#include "libnet/asyncevent.h"
#include "libnet/connectiontable.h"
#include "libnet/httpserver.h"

#include <boost/beast/http.hpp>

namespace Apricot {

// Converts a parsed request to the type that handlers receive.
HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> message);

// An exchange over one connection of HttpServer.
class HttpExchangeImpl : public HttpExchange {
public:
    // The server sets isClosing if connections are to close after their next response. Without chunks, a stream
    // ends with its connection.
    HttpExchangeImpl(boost::asio::ip::tcp::socket& socket, HttpRequest request, bool keepAlive,
        bool acceptsChunks, const bool& isClosing, Milliseconds writeTimeout,
        ConnectionTable::Entry* connection = nullptr);

    const HttpRequest& request() const override { return m_request; }
    boost::asio::awaitable<void> respond(int status, std::string contentType, std::string body,
        std::vector<HttpField> fields = {}) override;
    boost::asio::awaitable<void> beginStream(
        int status, std::string contentType, std::vector<HttpField> fields) override;
    boost::asio::awaitable<void> writeChunk(std::string_view data) override;
    boost::asio::awaitable<void> endStream() override;
    bool isResponseStarted() const override { return m_responseStarted; }
    bool isPeerDisconnected() const override { return m_peerDisconnected; }
    void setPeerDisconnectedHandler(std::function<void()> handler) override;
    void abort() override;
    void setProgressHandler(std::function<void(TimePoint)> handler) override { m_onProgress = std::move(handler); }

    // Starts watching for the peer to close its connection.
    void watchPeer();
    // Stops watching; afterwards the connection may be read again.
    boost::asio::awaitable<void> stopWatchingPeer();
    bool isFinished() const { return m_finished; }
    bool canReuseConnection() const { return m_finished && m_keepAlive && !m_peerDisconnected; }

private:
    boost::asio::awaitable<void> watchConnection();
    // Writes all bytes. Closes the connection if the peer accepts too few of them in the timeout.
    boost::asio::awaitable<void> write(std::string_view bytes);
    template <typename Body>
    void fillHeader(boost::beast::http::response<Body>& response, int status,
        std::string contentType, const std::vector<HttpField>& fields);

    boost::asio::ip::tcp::socket& m_socket;
    HttpRequest m_request;
    AsyncEvent m_watchEnded;
    std::function<void()> m_peerDisconnectedHandler;
    bool m_keepAlive;
    bool m_acceptsChunks;
    const bool& m_isClosing;
    Milliseconds m_writeTimeout;
    // The connection among those of its server, if it is one of them.
    ConnectionTable::Entry* m_connection;
    std::function<void(TimePoint)> m_onProgress;
    bool m_responseStarted = false;
    bool m_finished = false;
    bool m_peerDisconnected = false;
    bool m_watching = false;
    bool m_stoppingWatch = false;
};

}
