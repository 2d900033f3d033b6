#include "libapricot/catalogueobject.h"

#include "libapricot/cataloguejson.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace Apricot {

namespace {

    struct KindNames {
        ObjectKind kind;
        std::string_view name;
        std::string_view prefix;
    };

    constexpr std::array<KindNames, 4> kindNames { {
        { ObjectKind::Pipeline, "pipeline", "catalogue/" },
        { ObjectKind::Server, "server", "servers/" },
        { ObjectKind::Domain, "domain", "domains/" },
        { ObjectKind::Host, "host", "hosts/" },
    } };

    const KindNames& namesOf(ObjectKind kind)
    {
        return kindNames.at(static_cast<std::size_t>(kind));
    }

    constexpr NumberRange<std::int64_t> versionRange { 0, std::numeric_limits<std::int64_t>::max() };

    // Validates the spec of an object and prefixes the path of an error with the object's position
    // in the file.
    void checkSpecAt(const std::string& path, const CatalogueObject& object)
    {
        try {
            checkSpec(object.kind, object.name, object.spec);
        } catch (const CatalogueError& error) {
            throw CatalogueError(path + error.path().substr(1), error.allowed());
        }
    }

    CatalogueObject parseObject(const boost::json::value& value, const std::string& path)
    {
        JsonFields fields(value, path);
        std::vector<std::string_view> choices;
        choices.reserve(kindNames.size());
        for (const KindNames& names : kindNames)
            choices.push_back(names.name);
        CatalogueObject object;
        object.kind = *findObjectKind(fields.choice("kind", choices));
        object.name = fields.name("name");
        object.spec = fields.value("spec");
        if (fields.has("version"))
            object.version = static_cast<ObjectVersion>(fields.integer("version", versionRange));
        fields.finish();
        checkSpecAt(fields.pathOf("spec"), object);
        return object;
    }

    void checkUnique(const std::vector<CatalogueObject>& objects, const std::string& path)
    {
        const CatalogueObject& last = objects.back();
        const auto duplicate = std::find_if(objects.begin(), std::prev(objects.end()),
            [&last](const CatalogueObject& previous) {
                return previous.kind == last.kind && previous.name == last.name;
            });
        if (duplicate != std::prev(objects.end()))
            throw CatalogueError(
                path + ".name", "must differ from the names of earlier objects of this kind");
    }

}

std::string_view objectKindName(ObjectKind kind)
{
    return namesOf(kind).name;
}

std::optional<ObjectKind> findObjectKind(std::string_view name)
{
    for (const KindNames& names : kindNames) {
        if (names.name == name)
            return names.kind;
    }
    return std::nullopt;
}

std::string_view keyPrefix(ObjectKind kind)
{
    return namesOf(kind).prefix;
}

std::string platformKey(const CatalogueObject& object)
{
    return std::string(keyPrefix(object.kind)) + object.name;
}

void checkSpec(ObjectKind kind, const std::string& name, const boost::json::value& spec)
{
    switch (kind) {
    case ObjectKind::Pipeline:
        parseCatalogueEntry(PipelineId(name), spec);
        return;
    case ObjectKind::Server:
        parseBackendServer(BackendServerId(name), spec);
        return;
    case ObjectKind::Domain:
    case ObjectKind::Host:
        parseServiceState(spec);
        return;
    }
}

std::vector<CatalogueObject> parseCatalogueObjects(const boost::json::value& value)
{
    const boost::json::array* list = value.if_array();
    if (list == nullptr)
        return { parseObject(value, "$") };
    std::vector<CatalogueObject> objects;
    objects.reserve(list->size());
    for (std::size_t index = 0; index < list->size(); ++index) {
        const std::string path = "$[" + std::to_string(index) + "]";
        objects.push_back(parseObject(list->at(index), path));
        checkUnique(objects, path);
    }
    return objects;
}

}
