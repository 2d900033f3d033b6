#include "gateway/storedeltajson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    StoreDelta readDelta(const json::value& value)
    {
        StoreDelta delta { .revision = value.at("revision").to_number<ObjectVersion>(),
            .age = Milliseconds(value.at("age_ms").to_number<std::int64_t>()) };
        if (!value.as_object().contains("objects"))
            return delta;
        delta.isSnapshot = value.at("whole").as_bool();
        if (const json::value* more = value.as_object().if_contains("more"))
            delta.isPartial = more->as_bool();
        for (const json::value& entry : value.at("objects").as_array()) {
            delta.objects.push_back({ .key = std::string(entry.at("key").as_string()),
                .version = entry.at("version").to_number<ObjectVersion>(),
                .value = entry.at("value") });
            if (const json::value* status = entry.as_object().if_contains("status"))
                delta.objects.back().status = *status;
        }
        for (const json::value& key : value.at("removed").as_array())
            delta.removed.emplace_back(key.as_string());
        return delta;
    }

}

json::value toJson(const StoreDelta& delta, bool withObjects, Milliseconds heldFor)
{
    json::object body { { "revision", delta.revision }, { "age_ms", delta.age.count() },
        { "held_ms", heldFor.count() } };
    if (!withObjects)
        return body;
    json::array objects;
    for (const PlatformObject& object : delta.objects) {
        json::object entry { { "key", object.key }, { "version", object.version }, { "value", object.value } };
        if (!object.status.is_null())
            entry["status"] = object.status;
        objects.push_back(std::move(entry));
    }
    json::array removed;
    for (const std::string& key : delta.removed)
        removed.emplace_back(key);
    body["whole"] = delta.isSnapshot;
    if (delta.isPartial)
        body["more"] = true;
    body["objects"] = std::move(objects);
    body["removed"] = std::move(removed);
    return body;
}

PeerDeltas readPeerDeltas(const std::string& text)
{
    PeerDeltas deltas;
    const json::value prefixes = json::parse(text);
    for (const auto& [prefix, value] : prefixes.as_object()) {
        try {
            PeerDeltas::Entry entry { readDelta(value), value.as_object().contains("objects") };
            if (const json::value* held = value.as_object().if_contains("held_ms"))
                entry.heldFor = Milliseconds(held->to_number<std::int64_t>());
            deltas.entries[prefix] = std::move(entry);
        } catch (const std::exception& error) {
            deltas.entries.erase(prefix);
            deltas.rejected[prefix] = error.what();
        }
    }
    return deltas;
}

}
