#include "emulator/platform/platformserver.h"

#include "emulator/platform/objectjson.h"
#include "platform/names.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <charconv>

namespace Apricot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    using PlatformNames::objectsPath;
    constexpr std::string_view jsonType = "application/json";
    // Ends the path on which the status of an object is written.
    constexpr std::string_view statusSuffix = "/status";
    constexpr Milliseconds watchTimeoutDefault { 10000 };
    constexpr Milliseconds watchTimeoutLimit { 60000 };
    // Time for which a call of a cut-off host is held before its connection is closed.
    constexpr Milliseconds cutHoldTime { 2000 };
    constexpr Milliseconds disconnectPollInterval { 20 };
    // Maximum number of revisions by which a stale read lags behind.
    constexpr ObjectVersion maxStaleRevisions = 4;
    constexpr std::size_t bodyLimitBytes = 1024UL * 1024;

    // Thrown for a request that the API does not allow; results in status 400.
    class BadRequest : public std::runtime_error {
    public:
        using std::runtime_error::runtime_error;
    };

    std::optional<std::uint64_t> numberParameter(
        const HttpRequest& request, std::string_view name)
    {
        const std::string text = request.parameter(name);
        if (text.empty())
            return std::nullopt;
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            throw BadRequest(
                "parameter " + std::string(name) + " is not an unsigned number: " + text);
        return number;
    }

    // Object in the body of a write request.
    struct WrittenObject {
        std::string name;
        json::value value;
        std::optional<ObjectVersion> ifVersion;
    };

    // Parses a write of an object's "spec" or "status".
    WrittenObject parseWrittenObject(const HttpRequest& request, std::string_view member = "spec")
    {
        try {
            const json::value body = json::parse(request.body);
            const json::object& metadata = body.at("metadata").as_object();
            WrittenObject written { .name = std::string(metadata.at("name").as_string()),
                .value = body.at(member) };
            if (const json::value* revision = metadata.if_contains("revision"))
                written.ifVersion = revision->to_number<ObjectVersion>();
            return written;
        } catch (const std::exception& error) {
            throw BadRequest(error.what());
        }
    }

    json::value errorJson(std::string_view text)
    {
        json::object object;
        object["error"] = text;
        return object;
    }

    std::vector<HttpField> statusFields(int status)
    {
        if (status == 429 || status == 503)
            return { { "Retry-After", "1" } };
        return {};
    }

    // Decodes the values whose only member is "raw_hex", which stand for bytes that are not valid JSON.
    std::string withRawValues(std::string text)
    {
        constexpr std::string_view opening = R"({"raw_hex":")";
        constexpr std::string_view closing = R"("})";
        constexpr int hexadecimal = 16;
        std::size_t begin = 0;
        while ((begin = text.find(opening, begin)) != std::string::npos) {
            const std::size_t end = text.find(closing, begin);
            std::string bytes;
            for (std::size_t digit = begin + opening.size(); digit + 1 < end; digit += 2)
                bytes += static_cast<char>(std::stoi(text.substr(digit, 2), nullptr, hexadecimal));
            text.replace(begin, end + closing.size() - begin, bytes);
            begin += bytes.size();
        }
        return text;
    }

    // The era is sent only by a store that has come back from an older copy.
    asio::awaitable<void> respondJson(
        HttpExchange& exchange, int status, const json::value& value, std::uint64_t era = 0)
    {
        std::vector<HttpField> fields = statusFields(status);
        if (era > 0)
            fields.push_back({ std::string(PlatformNames::storeEraField), std::to_string(era) });
        co_await exchange.respond(
            status, std::string(jsonType), withRawValues(json::serialize(value)), std::move(fields));
    }

    asio::awaitable<void> respondError(HttpExchange& exchange, int status, std::string_view text)
    {
        co_await respondJson(exchange, status, errorJson(text));
    }

}

PlatformServer::PlatformServer(asio::io_context& context, PlatformServerOptions options)
    : m_context(context)
    , m_random(m_faults.seed)
    , m_writeLimit(options.writesPerSecond, RuntimeClock::now())
    , m_readLimit(options.readsPerSecond, RuntimeClock::now())
    , m_changeTimer(context, TimePoint::max())
    , m_server(context, { .port = options.port, .bodyLimitBytes = bodyLimitBytes },
          [this](HttpExchange& exchange) { return handle(exchange); })
{
}

asio::awaitable<void> PlatformServer::handle(HttpExchange& exchange)
{
    const std::string& path = exchange.request().path;
    std::string error;
    try {
        if (path == "/faults")
            co_await handleFaults(exchange);
        else if (path == "/counts")
            co_await handleCounts(exchange);
        else
            co_await handleObjects(exchange);
    } catch (const BadRequest& badRequest) {
        error = badRequest.what();
    }
    if (!error.empty())
        co_await respondError(exchange, 400, error);
}

asio::awaitable<void> PlatformServer::handleFaults(HttpExchange& exchange)
{
    try {
        m_faults = parsePlatformFaults(json::parse(exchange.request().body));
    } catch (const std::exception& error) {
        throw BadRequest(error.what());
    }
    m_random.seed(m_faults.seed);
    if (m_faults.lostChanges > 0)
        m_store.restore(m_store.revision() - std::min(m_store.revision(), m_faults.lostChanges));
    notifyWatches();
    co_await respondJson(exchange, 200, json::object());
}

asio::awaitable<void> PlatformServer::handleCounts(HttpExchange& exchange)
{
    co_await respondJson(exchange, 200, json::value_from(m_counts));
}

asio::awaitable<void> PlatformServer::handleObjects(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (isCutOff(request)) {
        ++m_counts["cut"];
        co_await pause(cutHoldTime);
        exchange.abort();
        co_return;
    }
    if (m_faults.unresponsive)
        co_return co_await holdUntilDisconnected(exchange);
    if (m_faults.delay.count() > 0)
        co_await pause(m_faults.delay);
    const bool isWrite = request.method != "GET";
    const bool isWatch = !request.parameter("watch").empty();
    const bool isStaleRead = !request.parameter("staleOk").empty();
    ++m_counts[isWrite ? "writes" : (isWatch ? "watches" : (isStaleRead ? "stale_reads" : "reads"))];
    if (m_faults.outage) {
        ++m_counts["unavailable"];
        co_return co_await respondError(exchange, 503, "platform unavailable");
    }
    if (!isStaleRead && !(isWrite ? m_writeLimit : m_readLimit).tryAcquire(RuntimeClock::now())) {
        ++m_counts["limited"];
        co_return co_await respondError(exchange, 429, "rate limit exceeded");
    }
    if (!request.path.starts_with(objectsPath) || request.path.size() == objectsPath.size())
        co_return co_await respondError(exchange, 404, "no such path");
    const std::string key = decodePercent(request.path.substr(objectsPath.size()));
    if (m_faults.unavailableKinds.contains(key.substr(0, key.find('/'))))
        co_return co_await respondError(exchange, 503, "objects of this kind are unavailable");
    if (isWrite)
        co_return co_await handleWrite(exchange, key);
    if (key.find('/') != std::string::npos)
        co_return co_await handleGet(exchange, key);
    if (isWatch)
        co_return co_await handleWatch(exchange, key + "/");
    co_await handleList(exchange, key + "/");
}

asio::awaitable<void> PlatformServer::handleGet(HttpExchange& exchange, const std::string& key)
{
    const std::optional<StoreObject> object = m_store.get(key, readRevision());
    if (!object)
        co_return co_await respondError(exchange, 404, "no such object");
    co_await respondJson(exchange, 200, objectJson(*object), shownEra());
}

asio::awaitable<void> PlatformServer::handleList(HttpExchange& exchange, std::string prefix)
{
    ObjectVersion revision = readRevision();
    if (!exchange.request().parameter("staleOk").empty())
        revision -= std::min(revision, m_faults.staleListLag);
    const StoreList list = m_store.list(prefix, revision);
    co_await respondJson(exchange, 200, listJson(list, exchange.request().parameter("after")), shownEra());
}

asio::awaitable<void> PlatformServer::handleWatch(HttpExchange& exchange, std::string prefix)
{
    const HttpRequest& request = exchange.request();
    const ObjectVersion since = numberParameter(request, "watch").value_or(0);
    const Milliseconds timeout(
        numberParameter(request, "waitMs").value_or(watchTimeoutDefault.count()));
    const TimePoint deadline = RuntimeClock::now() + std::min(timeout, watchTimeoutLimit);
    while (true) {
        if (isCutOff(request)) {
            exchange.abort();
            co_return;
        }
        if (m_faults.unresponsive)
            co_return co_await holdUntilDisconnected(exchange);
        if (m_faults.outage)
            co_return co_await respondError(exchange, 503, "platform unavailable");
        StoreEvents events = m_store.eventsSince(prefix, since, readRevision(since));
        if (!events.complete || since > m_store.revision())
            co_return co_await respondError(exchange, 410,
                "revision is older than the change log; list again");
        if (!events.events.empty() || RuntimeClock::now() >= deadline) {
            if (m_faults.reorderWatch)
                reorderEvents(prefix, since, events);
            co_return co_await respondJson(exchange, 200, eventsJson(events), shownEra());
        }
        Timer timer(m_context, deadline);
        boost::system::error_code ignored;
        // All watches wait for the shared timer. It is also cancelled at the deadline of each watch,
        // so that the watch can respond.
        timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                notifyWatches();
        });
        co_await m_changeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (exchange.isPeerDisconnected())
            co_return;
    }
}

asio::awaitable<void> PlatformServer::handleWrite(HttpExchange& exchange, const std::string& key)
{
    const HttpRequest& request = exchange.request();
    StoreResult result;
    std::string writtenKey = key;
    if (request.method == "DELETE") {
        result = m_store.remove(key, numberParameter(request, "revision"));
    } else if (request.method == "POST") {
        WrittenObject object = parseWrittenObject(request);
        writtenKey += "/" + object.name;
        result = m_store.put(writtenKey, storedValue(std::move(object.value), nullptr), 0);
    } else if (request.method == "PUT") {
        const bool isStatus = key.ends_with(statusSuffix) && std::count(key.begin(), key.end(), '/') > 1;
        if (isStatus)
            writtenKey.resize(key.size() - statusSuffix.size());
        WrittenObject object = parseWrittenObject(request, isStatus ? "status" : "spec");
        const auto existing = m_store.get(writtenKey, m_store.revision());
        json::value value = !existing ? json::value(nullptr)
            : isStatus                ? storedValue(partOf(existing->value, "spec"), std::move(object.value))
                                      : storedValue(std::move(object.value), partOf(existing->value, "status"));
        result = existing ? m_store.put(writtenKey, std::move(value), object.ifVersion) : StoreResult(StoreConflict {});
    } else {
        co_return co_await respondError(exchange, 405, "method not allowed");
    }
    notifyWatches();
    if (shouldLoseResponse()) {
        ++m_counts["lost_answers"];
        exchange.abort();
        co_return;
    }
    if (std::holds_alternative<StoreAccepted>(result)) {
        const std::optional<StoreObject> object = m_store.get(writtenKey, m_store.revision());
        const json::value response = object ? objectJson(*object) : json::value(json::object());
        co_return co_await respondJson(exchange, 200, response, shownEra());
    }
    const auto& conflict = std::get<StoreConflict>(result);
    if (!conflict.current)
        co_return co_await respondError(exchange, 404, "no such object");
    ++m_counts["conflicts"];
    co_await respondJson(exchange, 409, conflictJson(conflict), shownEra());
}

asio::awaitable<void> PlatformServer::holdUntilDisconnected(HttpExchange& exchange)
{
    while (!exchange.isPeerDisconnected())
        co_await pause(disconnectPollInterval);
}

asio::awaitable<void> PlatformServer::pause(Duration duration)
{
    Timer timer(m_context, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

bool PlatformServer::isCutOff(const HttpRequest& request) const
{
    return m_faults.cutHosts.contains(std::string(request.field("X-Host")));
}

bool PlatformServer::shouldLoseResponse()
{
    return std::bernoulli_distribution(std::clamp(m_faults.responseLossRate, 0.0, 1.0))(m_random);
}

std::uint64_t PlatformServer::shownEra() const
{
    return m_faults.hidesEra ? 0 : m_store.era();
}

ObjectVersion PlatformServer::readRevision(ObjectVersion atLeast)
{
    const ObjectVersion newest = m_store.revision();
    if (!m_faults.staleReads)
        return newest;
    const ObjectVersion lag = m_random() % (maxStaleRevisions + 1);
    return std::max(newest > lag ? newest - lag : 0, std::min(atLeast, newest));
}

void PlatformServer::reorderEvents(
    std::string_view prefix, ObjectVersion since, StoreEvents& events)
{
    const ObjectVersion olderRevision = since > maxStaleRevisions ? since - maxStaleRevisions : 0;
    const StoreEvents olderEvents = m_store.eventsSince(prefix, olderRevision, since);
    events.events.insert(events.events.end(), olderEvents.events.begin(), olderEvents.events.end());
    std::shuffle(events.events.begin(), events.events.end(), m_random);
}

void PlatformServer::notifyWatches()
{
    m_changeTimer.cancel();
}

}
