#pragma once

#include "libapricot/attempt.h"
#include "libapricot/hometakeover.h"
#include "libapricot/ownershare.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"
#include "libnet/controlmessages.h"
#include "libnet/recordmessages.h"
#include "libserving/stagework.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

// Entry host to coordinator: run this request, or attach to it where it already runs.
struct SubmitMessage {
    RequestKey key;
    // False when the entry host made the key, so that no earlier attempt can exist.
    bool keyFromCaller = false;
    PipelineId pipeline;
    std::string input;
    // What is left of the deadline when the message leaves.
    Milliseconds budget { 0 };
    // First token of the answer that the caller still needs.
    std::uint64_t resumeFrom = 0;
    ServiceClass serviceClass = ServiceClass::Standard;
    // Hosts that could not be reached for this request; the next in order runs it instead.
    std::vector<HostId> unreachable;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, keyFromCaller, pipeline, input, budget, resumeFrom, serviceClass, unreachable);
    }
};

// A token of an answer, numbered from zero within its stage.
struct TokenMessage {
    std::uint64_t index = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive) { archive(index, text); }
};

// The answer is whole: so many tokens were sent, with so much cost.
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

// Coordinator to the home of a replica: run one attempt of a stage.
struct StageCallMessage {
    StageCall call;

    template <typename Archive>
    void serialize(Archive& archive) { archive(call); }
};

// Home to coordinator: the attempt's bytes are about to leave for the backend server.
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

// A JSON text with a name, for questions that need no type of their own, such as a state dump.
struct TextMessage {
    std::string topic;
    std::string json;

    template <typename Archive>
    void serialize(Archive& archive) { archive(topic, json); }
};

// New home of a replica to an earlier one: start nothing more under an assignment older than this.
struct ReleaseHomeMessage {
    BackendServerId server;
    ObjectVersion since = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(server, since); }
};

// Earlier home to the new one: it has stopped, and so much of its work may still be on the server.
struct HomeReleasedMessage {
    // Process that answers. Another incarnation than the one that was asked tells that that is gone.
    std::string incarnation;
    int inFlight = 0;
    // Cap that the earlier home had reached with this process of the server.
    int cap = 0;
    // Normal time of one step of the server, as far as it was seen.
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

// Coordinator to the host that runs the request already, or is home of its key: as SubmitMessage,
// but never passed on a second time.
struct RelayedSubmitMessage {
    SubmitMessage submit;

    template <typename Archive>
    void serialize(Archive& archive) { archive(submit); }
};

// Host to the home of owners: the demand for the owners' limits, and the shares in force.
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

// Gateway to the home of a group of stage servers: run one stage of a request.
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

// Gateway to the home that made them: these results are not needed any more.
struct ReleaseResultsMessage {
    PoolId pool;
    int group = 0;
    std::vector<std::string> handles;

    template <typename Archive>
    void serialize(Archive& archive) { archive(pool, group, handles); }
};

// Everything that processes of the system say to each other. New alternatives go to the end: a
// position is the type's number on the wire.
using Message = std::variant<SubmitMessage, TokenMessage, CompletedMessage, RefusedMessage,
    StageCallMessage, StageSentMessage, StageEndedMessage, TextMessage, ReleaseHomeMessage,
    HomeReleasedMessage, RelayedSubmitMessage, StoreCopyMessage, CopyResponseMessage, ClaimMessage,
    ClaimResponseMessage, PoisonMessage, ShareRequestMessage, ShareResponseMessage, HeartbeatMessage,
    HeartbeatResponseMessage, ConfigRequestMessage, ConfigResponseMessage, ViewRequestMessage,
    ViewResponseMessage, StageWorkMessage, StageResultMessage, ReleaseResultsMessage>;

// Version of the encoding; a frame of another version closes its connection.
constexpr std::uint8_t messageVersion = 1;
// Largest encoded message.
constexpr std::size_t messageLimitBytes = 2'097'152;

// Encodes a message without its length. The first byte is the version, the second the type.
std::string encodeMessage(const Message& message);
// Decodes what encodeMessage() wrote. Throws MessageError on anything else.
Message decodeMessage(std::string_view bytes);

// Thrown for bytes that are no message of this version.
class MessageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

}
