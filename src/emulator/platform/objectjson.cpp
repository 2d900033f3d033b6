#include "emulator/platform/objectjson.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    // Maximum number of objects on one page of a list.
    constexpr std::size_t pageLength = 500;

    std::string objectName(const std::string& key) { return key.substr(key.find('/') + 1); }

}

json::value storedValue(json::value spec, json::value status)
{
    return json::object { { "spec", std::move(spec) }, { "status", std::move(status) } };
}

json::value partOf(const json::value& stored, std::string_view name)
{
    const json::object* object = stored.if_object();
    const json::value* member = object ? object->if_contains(name) : nullptr;
    return member ? *member : json::value(nullptr);
}

json::value objectJson(const StoreObject& object)
{
    json::object metadata { { "name", objectName(object.key) }, { "revision", object.version },
        { "created", object.version }, { "finalizers", json::array() },
        { "deletionPending", false } };
    return json::object { { "metadata", std::move(metadata) }, { "spec", partOf(object.value, "spec") },
        { "status", partOf(object.value, "status") } };
}

json::value eventsJson(const StoreEvents& events)
{
    json::array list;
    for (const StoreEvent& event : events.events) {
        json::value object = objectJson({ event.key, event.version,
            event.value ? *event.value : json::value(nullptr) });
        list.push_back(
            json::object { { "deleted", !event.value }, { "object", std::move(object) } });
    }
    return json::object { { "events", std::move(list) }, { "at", events.revision } };
}

json::value listJson(const StoreList& list, const std::string& after)
{
    json::array entries;
    bool hasMore = false;
    for (const StoreObject& object : list.objects) {
        if (objectName(object.key) <= after)
            continue;
        hasMore = entries.size() == pageLength;
        if (hasMore)
            break;
        entries.push_back(objectJson(object));
    }
    return json::object { { "entries", std::move(entries) }, { "hasMore", hasMore },
        { "at", list.revision } };
}

json::value conflictJson(const StoreConflict& conflict)
{
    return conflict.current ? objectJson(*conflict.current) : json::value(nullptr);
}

}
