#include "libserving/serverlimitjson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace Apricot {

namespace json = boost::json;

namespace {

    // Evidence of a limit is confirmed or replaced far more often.
    constexpr Milliseconds maxAge { 3'600'000 };

    void writeEvidence(json::object& object, const LimitEvidence& evidence, TimePoint now)
    {
        object["limit"] = evidence.limit ? json::value(*evidence.limit) : json::value(nullptr);
        object["age_ms"] = std::min<std::int64_t>(millisecondsBetween(evidence.sentAt, now), maxAge.count());
    }

    Milliseconds readMilliseconds(const json::value& value)
    {
        const Milliseconds time(value.to_number<std::int64_t>());
        if (time < Milliseconds(0) || time > maxAge)
            throw std::invalid_argument("expected a time of at most an hour");
        return time;
    }

    LimitEvidence readEvidence(const json::value& value, TimePoint now)
    {
        LimitEvidence evidence { .sentAt = now - readMilliseconds(value.at("age_ms")) };
        const json::value& limit = value.at("limit");
        if (limit.is_null())
            return evidence;
        evidence.limit = limit.to_number<double>();
        if (!std::isfinite(*evidence.limit) || *evidence.limit < 0)
            throw std::invalid_argument("expected a limit of at least zero");
        return evidence;
    }

}

std::string toJson(const LimitNotice& notice, TimePoint now)
{
    json::object object { { "server", notice.server.server.value() }, { "started_at", notice.server.startedAt } };
    writeEvidence(object, notice.evidence, now);
    return json::serialize(object);
}

LimitNotice readLimitNotice(const std::string& text, TimePoint now)
{
    const json::value value = json::parse(text);
    return { .server = { BackendServerId(std::string(value.at("server").as_string())),
                 value.at("started_at").to_number<std::int64_t>() },
        .evidence = readEvidence(value, now) };
}

std::string toJson(const PermitResponse& response, TimePoint now)
{
    json::object object { { "granted", response.isGranted }, { "wait_ms", response.wait.count() } };
    writeEvidence(object, response.evidence, now);
    return json::serialize(object);
}

PermitResponse readPermitResponse(const std::string& text, TimePoint now)
{
    const json::value value = json::parse(text);
    return { .isGranted = value.at("granted").as_bool(),
        .wait = readMilliseconds(value.at("wait_ms")),
        .evidence = readEvidence(value, now) };
}

}
