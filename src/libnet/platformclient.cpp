#include "libnet/platformclient.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Apricot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds retryDefault { 1000 };
    // Writes of one putConfirmed() until its result counts as unknown.
    constexpr int confirmAttempts = 3;

    // A call whose answer was lost after it may have left.
    class LostAnswer : public std::runtime_error {
    public:
        using std::runtime_error::runtime_error;
    };

    // Percent-encodes all but the characters that keys are made of.
    std::string encodeComponent(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        constexpr std::string_view plain = "-._~/";
        std::string encoded;
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (std::isalnum(byte) != 0 || plain.find(character) != std::string_view::npos)
                encoded += character;
            else
                encoded += { '%', digits[byte >> 4U], digits[byte & 15U] };
        }
        return encoded;
    }

    Milliseconds retryAfterOf(std::string_view field)
    {
        int seconds = 0;
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), seconds);
        return error == std::errc() ? std::chrono::seconds(seconds) : retryDefault;
    }

    PlatformObject parseObject(const json::value& value)
    {
        const json::object& object = value.as_object();
        return { .key = std::string(object.at("key").as_string()),
            .version = object.at("version").to_number<ObjectVersion>(),
            .value = object.at("value") };
    }

    PlatformEvent parseEvent(const json::value& value)
    {
        const json::object& object = value.as_object();
        PlatformEvent event { .key = std::string(object.at("key").as_string()),
            .version = object.at("version").to_number<ObjectVersion>() };
        if (!object.at("value").is_null())
            event.value = object.at("value");
        return event;
    }

    // Runs a parser over an answer's body; an answer of another shape counts as unavailable.
    template <typename Parser>
    auto parseBody(const std::string& body, Parser parser)
    {
        try {
            return parser(json::parse(body));
        } catch (const std::exception& error) {
            throw PlatformUnavailable(
                std::string("platform answer not understood: ") + error.what(), retryDefault);
        }
    }

    // Reads the answer to a write. One that is not understood tells nothing of the write.
    WriteResult parseWriteAnswer(int status, const std::string& body, bool isDeletion)
    {
        if (status >= 400 && status < 500 && status != 409)
            throw PlatformUnavailable("platform answered " + std::to_string(status), retryDefault);
        try {
            const json::value value = json::parse(body);
            if (status == 409 && value.is_null())
                return WriteConflict {};
            if (status == 409)
                return WriteConflict { .current = parseObject(value) };
            if (status == 200 && isDeletion)
                return WriteStored {};
            if (status == 200)
                return WriteStored { value.at("version").to_number<ObjectVersion>() };
        } catch (const std::exception& error) {
            return WriteUnknown { .detail = error.what() };
        }
        return WriteUnknown { .detail = "platform answered " + std::to_string(status) };
    }

    PlatformUnavailable unexpectedStatus(int status)
    {
        return { "platform answered " + std::to_string(status), retryDefault };
    }

}

PlatformClient::PlatformClient(asio::io_context& context, PlatformClientOptions options)
    : m_options(std::move(options))
    , m_client(context, { .address = m_options.address, .port = m_options.port })
{
}

asio::awaitable<std::optional<PlatformObject>> PlatformClient::get(std::string key)
{
    const Answer answer = co_await read("/objects/" + encodeComponent(key), m_options.timeout);
    if (answer.status == 404)
        co_return std::nullopt;
    if (answer.status != 200)
        throw unexpectedStatus(answer.status);
    co_return parseBody(answer.body, parseObject);
}

asio::awaitable<PlatformList> PlatformClient::list(std::string prefix)
{
    const Answer answer
        = co_await read("/objects?prefix=" + encodeComponent(prefix), m_options.timeout);
    if (answer.status != 200)
        throw unexpectedStatus(answer.status);
    co_return parseBody(answer.body, [](const json::value& value) {
        PlatformList list { .revision = value.at("revision").to_number<ObjectVersion>() };
        for (const json::value& object : value.at("objects").as_array())
            list.objects.push_back(parseObject(object));
        return list;
    });
}

asio::awaitable<PlatformWatch> PlatformClient::watch(
    std::string prefix, ObjectVersion since, Milliseconds timeout)
{
    const Answer answer = co_await read("/watch?prefix=" + encodeComponent(prefix)
            + "&since=" + std::to_string(since) + "&timeout_ms=" + std::to_string(timeout.count()),
        timeout + m_options.timeout);
    if (answer.status == 410)
        co_return PlatformWatch(PlatformListAgain {});
    if (answer.status != 200)
        throw unexpectedStatus(answer.status);
    co_return parseBody(answer.body, [](const json::value& value) {
        PlatformEvents events { .revision = value.at("revision").to_number<ObjectVersion>() };
        for (const json::value& event : value.at("events").as_array())
            events.events.push_back(parseEvent(event));
        return events;
    });
}

asio::awaitable<WriteResult> PlatformClient::put(
    std::string key, json::value value, std::optional<ObjectVersion> ifVersion)
{
    std::string target = "/objects/" + encodeComponent(key);
    if (ifVersion)
        target += "?if_version=" + std::to_string(*ifVersion);
    HttpCall call { .method = "PUT",
        .target = std::move(target),
        .body = json::serialize(value),
        .timeout = m_options.timeout };
    co_return co_await write(std::move(call));
}

asio::awaitable<WriteResult> PlatformClient::remove(
    std::string key, std::optional<ObjectVersion> ifVersion)
{
    std::string target = "/objects/" + encodeComponent(key);
    if (ifVersion)
        target += "?if_version=" + std::to_string(*ifVersion);
    HttpCall call { .method = "DELETE", .target = std::move(target), .timeout = m_options.timeout };
    co_return co_await write(std::move(call));
}

asio::awaitable<WriteResult> PlatformClient::putConfirmed(
    std::string key, json::value value, ObjectVersion ifVersion, OwnWriteCheck isOwnWrite)
{
    WriteUnknown unknown;
    for (int attempt = 0; attempt < confirmAttempts; ++attempt) {
        std::optional<WriteResult> result;
        try {
            result = co_await put(key, value, ifVersion);
        } catch (const PlatformUnavailable&) {
            // Only the first write can have been turned away for certain.
            if (attempt == 0)
                throw;
            co_return unknown;
        }
        if (const auto* conflict = std::get_if<WriteConflict>(&*result)) {
            if (attempt > 0 && conflict->current && isOwnWrite(*conflict->current))
                result = WriteStored { .version = conflict->current->version };
            co_return *result;
        }
        if (std::holds_alternative<WriteStored>(*result))
            co_return *result;
        unknown = std::get<WriteUnknown>(*result);
    }
    co_return unknown;
}

asio::awaitable<PlatformClient::Answer> PlatformClient::send(HttpCall call)
{
    call.fields.push_back({ "X-Host", m_options.host.value() });
    if (!call.body.empty())
        call.fields.push_back({ "Content-Type", "application/json" });
    auto sent = std::make_shared<bool>(false);
    Answer answer;
    try {
        HttpSendGate gate = [sent] { return *sent = true; };
        const std::unique_ptr<HttpStream> stream
            = co_await m_client.open(std::move(call), std::move(gate));
        answer.status = stream->status();
        if (answer.status == 429 || answer.status == 503)
            throw PlatformUnavailable("platform answered " + std::to_string(answer.status),
                retryAfterOf(stream->field("Retry-After")));
        while (std::optional<std::string> piece = co_await stream->read())
            answer.body += *piece;
    } catch (const boost::system::system_error& error) {
        if (*sent)
            throw LostAnswer(error.code().message());
        throw PlatformUnavailable(error.code().message(), retryDefault);
    }
    co_return answer;
}

asio::awaitable<PlatformClient::Answer> PlatformClient::read(
    std::string target, Milliseconds timeout)
{
    try {
        HttpCall call { .target = std::move(target), .timeout = timeout };
        co_return co_await send(std::move(call));
    } catch (const LostAnswer& error) {
        throw PlatformUnavailable(error.what(), retryDefault);
    }
}

asio::awaitable<WriteResult> PlatformClient::write(HttpCall call)
{
    const bool isDeletion = call.method == "DELETE";
    try {
        const Answer answer = co_await send(std::move(call));
        co_return parseWriteAnswer(answer.status, answer.body, isDeletion);
    } catch (const LostAnswer& error) {
        WriteResult unknown = WriteUnknown { .detail = error.what() };
        co_return unknown;
    }
}

}
