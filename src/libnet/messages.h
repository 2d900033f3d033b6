#pragma once

#include "libapricot/attempt.h"
#include "libapricot/hometakeover.h"
#include "libapricot/ownershare.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"
#include "libnet/controlmessages.h"
#include "libnet/recordmessages.h"
#include "libnet/relaymessages.h"
#include "libserving/stagework.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

// Entry host to coordinator: runs a request, or attaches to it if it already runs.
struct SubmitMessage {
    RequestKey key;
    // False if the entry host generated the key, so that no earlier attempt can exist.
    bool keyFromCaller = false;
    PipelineId pipeline;
    std::string input;
    // Time left until the deadline when the message is sent.
    Milliseconds budget { 0 };
    // Index of the first token of the output that the caller still needs.
    std::uint64_t resumeFrom = 0;
    ServiceClass serviceClass = ServiceClass::Standard;
    // Hosts that could not be reached for this request; the next host in order runs it instead.
    std::vector<HostId> unreachable;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, keyFromCaller, pipeline, input, budget, resumeFrom, serviceClass, unreachable);
    }
};

// A token of the output, numbered from zero within its stage.
struct TokenMessage {
    std::uint64_t index = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive) { archive(index, text); }
};

// The output is complete: number of tokens sent, and the cost of the stages.
struct CompletedMessage {
    std::uint64_t tokens = 0;
    std::vector<StageCost> costs;

    template <typename Archive>
    void serialize(Archive& archive) { archive(tokens, costs); }
};

struct RefusedMessage {
    Refusal refusal;

    template <typename Archive>
    void serialize(Archive& archive) { archive(refusal); }
};

// Coordinator to the home of a replica: runs one attempt of a stage.
struct StageCallMessage {
    StageCall call;

    template <typename Archive>
    void serialize(Archive& archive) { archive(call); }
};

// Home to coordinator: the attempt is about to be sent to the backend server.
struct StageSentMessage {
    AttemptId attempt;

    template <typename Archive>
    void serialize(Archive& archive) { archive(attempt); }
};

// Home to coordinator: how the attempt ended.
struct StageEndedMessage {
    StageOutcome outcome;

    template <typename Archive>
    void serialize(Archive& archive) { archive(outcome); }
};

// A named JSON text, for requests that need no message type of their own, such as a state dump.
struct TextMessage {
    std::string topic;
    std::string json;

    template <typename Archive>
    void serialize(Archive& archive) { archive(topic, json); }
};

// New home of a replica to an earlier one: start no more attempts under an assignment older than
// `since`.
struct ReleaseHomeMessage {
    BackendServerId server;
    ObjectVersion since = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(server, since); }
};

// Earlier home to the new one: it has stopped, and `inFlight` of its attempts may still be on the
// server.
struct HomeReleasedMessage {
    // Incarnation of the responding process. If it is not the one that the request was meant for,
    // that process is gone.
    std::string incarnation;
    int inFlight = 0;
    // Cap that the earlier home had reached with this process of the server.
    int cap = 0;
    // Normal duration of one step of the server, as far as it has been observed.
    Duration normalStepTime {};
    std::string serverIncarnation;
    // Predecessors of the earlier home that had not confirmed to it that they stopped.
    std::vector<Predecessor> unresolved;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, inFlight, cap, normalStepTime, serverIncarnation, unresolved);
    }
};

// Coordinator to the host that already runs the request, or is the home of its key: like
// SubmitMessage, but never relayed a second time.
struct RelayedSubmitMessage {
    SubmitMessage submit;

    template <typename Archive>
    void serialize(Archive& archive) { archive(submit); }
};

// Host to the home of owners: its demand under the owners' limits, and the shares in force.
struct ShareRequestMessage {
    ShareRequest request;

    template <typename Archive>
    void serialize(Archive& archive) { archive(request); }
};

// Home of owners to a host: the shares that it may use next.
struct ShareResponseMessage {
    ShareResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// Gateway to the home of a group of stage servers: runs one stage of a request.
struct StageWorkMessage {
    StageWork work;

    template <typename Archive>
    void serialize(Archive& archive) { archive(work); }
};

// Home of a group of stage servers to a gateway: how the stage ended.
struct StageResultMessage {
    StageWorkResult result;

    template <typename Archive>
    void serialize(Archive& archive) { archive(result); }
};

// Gateway to the home that produced them: these results are no longer needed.
struct ReleaseResultsMessage {
    PoolId pool;
    int group = 0;
    std::vector<std::string> handles;

    template <typename Archive>
    void serialize(Archive& archive) { archive(pool, group, handles); }
};

// All messages between processes of the system. New alternatives go to the end: the position of an
// alternative is its type number on the wire.
using Message = std::variant<SubmitMessage, TokenMessage, CompletedMessage, RefusedMessage,
    StageCallMessage, StageSentMessage, StageEndedMessage, TextMessage, ReleaseHomeMessage,
    HomeReleasedMessage, RelayedSubmitMessage, StoreCopyMessage, CopyResponseMessage, ClaimMessage,
    ClaimResponseMessage, PoisonMessage, ShareRequestMessage, ShareResponseMessage, HeartbeatMessage,
    HeartbeatResponseMessage, ConfigRequestMessage, ConfigResponseMessage, ViewRequestMessage,
    ViewResponseMessage, StageWorkMessage, StageResultMessage, ReleaseResultsMessage,
    RelayCallMessage, RelayHeadMessage, RelayDataMessage, RelayConsumedMessage, RelayEndMessage>;

// Version of the encoding. A message of another version closes its connection.
constexpr std::uint8_t messageVersion = 2;
// Largest encoded message.
constexpr std::size_t messageLimitBytes = 2'097'152;

// Encodes a message without its length. The first byte is the version, the second the type.
std::string encodeMessage(const Message& message);
// Decodes the output of encodeMessage(). Throws MessageError for any other input.
Message decodeMessage(std::string_view bytes);

// Thrown for bytes that are not a valid message of this version.
class MessageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

}
