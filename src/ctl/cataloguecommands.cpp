#include "ctl/cataloguecommands.h"

#include "ctl/cataloguefile.h"
#include "ctl/jsontext.h"
#include "libapricot/cataloguejson.h"
#include "libapricot/namecheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <charconv>
#include <map>
#include <set>

namespace Apricot {

namespace {

    boost::json::object objectIdentityJson(const CatalogueObject& object)
    {
        return { { "kind", objectKindName(object.kind) }, { "name", object.name } };
    }

    std::string objectLabel(const CatalogueObject& object)
    {
        return std::string(objectKindName(object.kind)) + " " + object.name;
    }

    std::vector<CatalogueEntry> parsePipelines(const std::vector<CatalogueObject>& objects)
    {
        std::vector<CatalogueEntry> entries;
        for (const CatalogueObject& object : objects) {
            if (object.kind == ObjectKind::Pipeline)
                entries.push_back(parseCatalogueEntry(PipelineId(object.name), object.spec));
        }
        return entries;
    }

    std::set<PoolId> serverPools(const std::vector<CatalogueObject>& objects)
    {
        std::set<PoolId> pools;
        for (const CatalogueObject& object : objects) {
            if (object.kind == ObjectKind::Server)
                pools.insert(parseBackendServer(BackendServerId(object.name), object.spec).pool);
        }
        return pools;
    }

    std::string differingLimitsWarning(const CatalogueEntry& entry)
    {
        std::string text = "warning: pipeline " + entry.name.value();
        text += ": other pipelines of the owner " + entry.owner.value();
        return text + " have other limits; the strictest holds";
    }

    std::string emptyPoolWarning(const CatalogueEntry& entry, const StageSpec& stage)
    {
        std::string text = "warning: pipeline " + entry.name.value() + ", stage " + stage.name;
        return text + ": pool " + stage.pool.value() + " has no server in these files";
    }

    // Returns a warning for each stage whose pool has no server in the files, and for each pipeline
    // whose limits differ from those of its owner's first pipeline.
    std::vector<std::string> catalogueWarnings(const std::vector<CatalogueObject>& objects)
    {
        const std::set<PoolId> pools = serverPools(objects);
        std::map<OwnerId, OwnerLimits> limits;
        std::vector<std::string> warnings;
        for (const CatalogueEntry& entry : parsePipelines(objects)) {
            if (limits.try_emplace(entry.owner, entry.limits).first->second != entry.limits)
                warnings.push_back(differingLimitsWarning(entry));
            for (const StageSpec& stage : entry.stages) {
                if (!pools.contains(stage.pool))
                    warnings.push_back(emptyPoolWarning(entry, stage));
            }
        }
        return warnings;
    }

    CatalogueObject parseObjectArguments(const CommandContext& context)
    {
        CatalogueObject object;
        object.kind = parseKind(context.arguments.at(0));
        object.name = context.arguments.at(1);
        if (!isValidName(object.name))
            throw CommandError(ExitCode::Invalid, "NAME must be " + std::string(allowedName));
        return object;
    }

    PlatformObject getOrThrow(PlatformStore& store, const CatalogueObject& object)
    {
        std::optional<PlatformObject> found = store.get(platformKey(object));
        if (!found)
            throw CommandError(ExitCode::NotFound, "there is no " + objectLabel(object));
        return std::move(*found);
    }

    ObjectVersion parseVersion(const std::string& word)
    {
        ObjectVersion version = 0;
        const char* end = word.data() + word.size();
        const auto [rest, error] = std::from_chars(word.data(), end, version);
        if (error != std::errc() || rest != end)
            throw CommandError(ExitCode::Invalid, "VERSION must be a whole number");
        return version;
    }

    // Outcome of applying one object, for text and JSON output.
    struct ApplyResult {
        std::string action;
        ObjectVersion version = 0;
    };

    ApplyResult applyObject(PlatformStore& store, const CatalogueObject& object)
    {
        const std::optional<PlatformObject> current = store.get(platformKey(object));
        if (current && withoutChangeField(current->value) == withoutChangeField(object.spec))
            return { "unchanged", current->version };
        const ObjectVersion currentVersion = current ? current->version : 0;
        const ObjectVersion version
            = store.put(platformKey(object), object.spec, object.version.value_or(currentVersion));
        return { current ? "changed" : "created", version };
    }

    void addApplyResult(
        CommandResult& result, const CatalogueObject& object, const ApplyResult& applyResult)
    {
        boost::json::object item = objectIdentityJson(object);
        item["action"] = applyResult.action;
        item["version"] = applyResult.version;
        result.json.as_array().push_back(std::move(item));
        result.text += objectLabel(object) + " " + applyResult.action;
        result.text += ", version " + std::to_string(applyResult.version) + "\n";
    }

    std::string differenceText(const CatalogueObject& object,
        const std::vector<JsonDifference>& differences)
    {
        std::string text = objectLabel(object) + "\n";
        for (const JsonDifference& difference : differences) {
            if (!difference.before.empty())
                text += "  - " + difference.path + " " + difference.before + "\n";
            if (!difference.after.empty())
                text += "  + " + difference.path + " " + difference.after + "\n";
        }
        return text;
    }

    boost::json::array differencesJson(const std::vector<JsonDifference>& differences)
    {
        boost::json::array list;
        for (const JsonDifference& difference : differences) {
            list.push_back({ { "path", difference.path }, { "before", difference.before },
                { "after", difference.after } });
        }
        return list;
    }

    std::vector<JsonDifference> findDifferences(
        const CatalogueObject& object, const std::optional<PlatformObject>& current)
    {
        const boost::json::value before
            = current ? withoutChangeField(current->value)
                      : boost::json::value(boost::json::object());
        return jsonDifferences(before, withoutChangeField(object.spec));
    }

    void addObjectsOfKind(PlatformStore& store, ObjectKind kind, CommandResult& result)
    {
        const std::string prefix(keyPrefix(kind));
        for (const PlatformObject& object : store.list(prefix)) {
            const std::string name = object.key.substr(prefix.size());
            const std::string author = changedBy(object.value);
            result.json.as_array().push_back({ { "kind", objectKindName(kind) }, { "name", name },
                { "version", object.version }, { "changed_by", author } });
            result.text.append(objectKindName(kind)).append(" ").append(name);
            result.text += " version " + std::to_string(object.version);
            result.text.append(" by ").append(author).append("\n");
        }
    }

}

ObjectKind parseKind(const std::string& word)
{
    const std::optional<ObjectKind> kind = findObjectKind(word);
    if (!kind)
        throw CommandError(ExitCode::Invalid, "KIND must be pipeline, server, domain or host");
    return *kind;
}

CommandResult runValidate(const CommandContext& context)
{
    const std::vector<CatalogueObject> objects = readCatalogueFiles(context.arguments);
    CommandResult result;
    boost::json::array warnings;
    for (const std::string& warning : catalogueWarnings(objects)) {
        warnings.emplace_back(warning);
        result.text += warning + "\n";
    }
    result.text += std::to_string(objects.size()) + " objects are valid\n";
    result.json = { { "objects", objects.size() }, { "warnings", std::move(warnings) } };
    return result;
}

CommandResult runApply(const CommandContext& context)
{
    const std::vector<CatalogueObject> objects = readCatalogueFiles(context.arguments);
    PlatformStore store = context.store();
    CommandResult result { .json = boost::json::array() };
    for (const CatalogueObject& object : objects) {
        try {
            addApplyResult(result, object, applyObject(store, object));
        } catch (const CommandError& error) {
            // The error message includes the objects that were written before the error.
            throw CommandError(error.code(), result.text + error.what());
        }
    }
    return result;
}

CommandResult runGet(const CommandContext& context)
{
    const CatalogueObject object = parseObjectArguments(context);
    PlatformStore store = context.store();
    const PlatformObject current = getOrThrow(store, object);
    boost::json::object document = objectIdentityJson(object);
    document["version"] = current.version;
    document["spec"] = withoutChangeField(current.value);
    const std::string text = prettyJson(document) + "\n";
    return { .json = std::move(document), .text = text };
}

CommandResult runList(const CommandContext& context)
{
    PlatformStore store = context.store();
    CommandResult result { .json = boost::json::array() };
    if (!context.arguments.empty()) {
        addObjectsOfKind(store, parseKind(context.arguments.front()), result);
        return result;
    }
    for (const ObjectKind kind : objectKinds)
        addObjectsOfKind(store, kind, result);
    return result;
}

CommandResult runDiff(const CommandContext& context)
{
    PlatformStore store = context.store();
    CommandResult result { .json = boost::json::array() };
    for (const CatalogueObject& object : readCatalogueFiles(context.arguments)) {
        const auto differences = findDifferences(object, store.get(platformKey(object)));
        if (differences.empty())
            continue;
        result.code = ExitCode::Different;
        result.text += differenceText(object, differences);
        boost::json::object item = objectIdentityJson(object);
        item["differences"] = differencesJson(differences);
        result.json.as_array().push_back(std::move(item));
    }
    return result;
}

CommandResult runDelete(const CommandContext& context)
{
    const CatalogueObject object = parseObjectArguments(context);
    PlatformStore store = context.store();
    const PlatformObject current = getOrThrow(store, object);
    const ObjectVersion version = context.arguments.size() > 2
        ? parseVersion(context.arguments.at(2))
        : current.version;
    store.remove(platformKey(object), version);
    boost::json::object item = objectIdentityJson(object);
    item["action"] = "deleted";
    return { .json = std::move(item), .text = objectLabel(object) + " deleted\n" };
}

}
