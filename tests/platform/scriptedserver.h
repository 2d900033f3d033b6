#pragma once

#include "libnet/httpserver.h"
#include "libserving/bodyframing.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

// How a scripted server treats its connection after a response.
enum class ConnectionEnd {
    KeepOpen,
    // Closes it in order, as a process does that ends.
    Close,
    // Closes its own direction, and leaves the rest of the request unread.
    HalfClose,
    Reset,
    // Closes its own direction, and resets the connection at once.
    HalfCloseAndReset,
};

// When a scripted server responds.
enum class ResponseStart {
    AfterRequest,
    // Before it reads any of the request's body, so that a client is still writing a large one.
    AfterRequestHeader,
};

// A signed response, written byte by byte as given here.
struct ScriptedResponse {
    // Written one after another, with a pause between them.
    std::vector<std::string> parts;
    Apricot::BodyFraming framing = Apricot::BodyFraming::Chunks;
    // Whether the end is reached that the framing declares.
    bool isComplete = true;
    ConnectionEnd end = ConnectionEnd::KeepOpen;
    // Stops listening before the connection ends, as a process does that ends.
    bool endsServer = false;
    // Status line after the version of HTTP, with further lines of the header if there are any.
    std::string status = "200 OK";
    std::string contentType = "text/event-stream";
    // If not empty, this text is written instead of the response.
    std::string rawBytes {};
    // If not zero, the position in this text before which the server pauses.
    std::size_t rawPauseAt = 0;
    // Time from the request to the response.
    Apricot::Milliseconds delay { 0 };
    // If not empty, this text precedes the next response on the same connection, which then takes longer.
    std::string extraBytes {};
    // If not empty, the response is this text instead, followed by the last part without end.
    std::string endlessHead {};
};

using ResponseScript = std::function<ScriptedResponse(const Apricot::HttpRequest&)>;

// A backend server whose framing, and whose end of the connection, are scripted.
class ScriptedServer {
public:
    ScriptedServer(boost::asio::io_context& context, std::uint16_t port, ResponseScript script,
        ResponseStart start = ResponseStart::AfterRequest);
    ~ScriptedServer();

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};
