#include "gateway/viewrequestjson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    // Prefixes of objects end with a slash; other fields are no kinds.
    constexpr std::string_view waitField = "wait_ms";

    ViewRequest::Entry readEntry(const json::value& value)
    {
        ViewRequest::Entry entry { .revision = value.at("revision").to_number<ObjectVersion>(),
            .withObjects = value.at("objects").as_bool() };
        if (const json::value* age = value.as_object().if_contains("age_ms"))
            entry.age = Milliseconds(age->to_number<std::int64_t>());
        return entry;
    }

}

std::string toJson(const ViewRequest& request)
{
    json::object object;
    for (const auto& [prefix, entry] : request.entries) {
        object[prefix] = json::object { { "revision", entry.revision }, { "objects", entry.withObjects },
            { "age_ms", entry.age.count() } };
    }
    if (request.wait.count() > 0)
        object[waitField] = request.wait.count();
    return json::serialize(object);
}

ViewRequest readViewRequest(const std::string& text)
{
    ViewRequest request;
    const json::value value = json::parse(text);
    for (const auto& [key, entry] : value.as_object()) {
        if (key == waitField)
            request.wait = Milliseconds(entry.to_number<std::int64_t>());
        else if (key.ends_with('/'))
            request.entries[std::string(key)] = readEntry(entry);
    }
    return request;
}

}
