#pragma once

#include "libnet/httpserver.h"
#include "libserving/bodyframing.h"
#include "libserving/serverentry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// What a call requires of its server just before it is sent.
enum class CallCheck : std::uint8_t {
    // Assigns no new work, so that the server only has to be known.
    None,
    // The server may receive new work.
    Work,
    // The same, and it has neither started again nor changed its software version.
    Request,
};

// Host without a link to a backend server to a peer: sends a call to the server. The peer sends it itself or not at
// all.
struct RelayCallMessage {
    HostId from;
    BackendServerId server;
    Endpoint endpoint;
    std::int64_t startedAt = 0;
    SoftwareVersion softwareVersion;
    CallCheck check = CallCheck::None;
    // ID that the server echoes in its response, or empty.
    std::string requestId;
    std::string method;
    std::string target;
    std::vector<HttpField> fields;
    std::string body;
    // Timeouts for the header of the response, and for its whole body.
    Milliseconds headTimeout { 0 };
    Milliseconds bodyTimeout { 0 };

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(from, server, endpoint, startedAt, softwareVersion, check, requestId, method, target, fields, body,
            headTimeout, bodyTimeout);
    }
};

// Peer to host: the header of the server's response.
struct RelayHeadMessage {
    int status = 0;
    std::vector<HttpField> fields;
    BodyFraming framing = BodyFraming::Length;

    template <typename Archive>
    void serialize(Archive& archive) { archive(status, fields, framing); }
};

// Peer to host: the next part of the response's body.
struct RelayDataMessage {
    std::string data;

    template <typename Archive>
    void serialize(Archive& archive) { archive(data); }
};

// Host to peer: this number of bytes of the body have been read.
struct RelayConsumedMessage {
    std::uint64_t bytes = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(bytes); }
};

// How a relayed call ended.
enum class RelayEnd : std::uint8_t {
    // The response reached its regular end.
    Complete,
    // Nothing was sent: the peer reaches no server.
    CutOff,
    // Nothing was sent: the peer has no link to this server either.
    NoLink,
    // Nothing was sent: the peer relays too many calls already.
    Busy,
    // Nothing was sent: the peer did not accept a connection.
    Unreachable,
    // Nothing was sent: the server may not receive the call.
    NotPermitted,
    // The call may have run.
    Broken,
    TimedOut,
};

// Peer to host: the call has ended.
struct RelayEndMessage {
    RelayEnd end = RelayEnd::Broken;

    template <typename Archive>
    void serialize(Archive& archive) { archive(end); }
};

}
