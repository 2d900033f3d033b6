#include "libserving/streamoriginjson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    std::string textOf(const json::value& value, std::string_view name)
    {
        return std::string(value.at(name).as_string());
    }

    json::object toObject(const StreamKey& key)
    {
        return { { "owner", key.owner.value() }, { "request", key.requestId } };
    }

    StreamKey readKey(const json::value& value)
    {
        return { OwnerId(textOf(value, "owner")), textOf(value, "request") };
    }

    StreamOrigin readOrigin(const json::value& value)
    {
        return { PoolId(textOf(value, "pool")), SoftwareVersion(textOf(value, "version")) };
    }

    Milliseconds readMilliseconds(const json::value& value, std::string_view name)
    {
        return Milliseconds(value.at(name).to_number<std::int64_t>());
    }

}

std::string toJson(const StreamNotice& notice)
{
    json::object object = toObject(notice.key);
    object["pool"] = notice.origin.pool.value();
    object["version"] = notice.origin.version.value();
    object["ttl_ms"] = notice.timeToLive.count();
    return json::serialize(object);
}

StreamNotice readStreamNotice(const std::string& text)
{
    const json::value value = json::parse(text);
    return { readKey(value), readOrigin(value), readMilliseconds(value, "ttl_ms") };
}

std::string toJson(const OriginQuestion& question)
{
    json::object object = toObject(question.key);
    object["pool"] = question.pool.value();
    object["resumption_ms"] = question.resumptionTime.count();
    return json::serialize(object);
}

OriginQuestion readOriginQuestion(const std::string& text)
{
    const json::value value = json::parse(text);
    return { readKey(value), PoolId(textOf(value, "pool")), readMilliseconds(value, "resumption_ms") };
}

std::string toJson(const OriginKnowledge& knowledge)
{
    json::object object { { "several", knowledge.hasSeveralVersions } };
    if (knowledge.recorded)
        object["recorded"] = json::object { { "pool", knowledge.recorded->pool.value() },
            { "version", knowledge.recorded->version.value() } };
    if (knowledge.soleVersion)
        object["sole"] = knowledge.soleVersion->value();
    return json::serialize(object);
}

OriginKnowledge readOriginKnowledge(const std::string& text)
{
    const json::value value = json::parse(text);
    OriginKnowledge knowledge { .hasSeveralVersions = value.at("several").as_bool() };
    if (const json::value* recorded = value.as_object().if_contains("recorded"))
        knowledge.recorded = readOrigin(*recorded);
    if (value.as_object().contains("sole"))
        knowledge.soleVersion = SoftwareVersion(textOf(value, "sole"));
    return knowledge;
}

}
