#include "ctl/platformstore.h"

#include "ctl/blockingcall.h"
#include "ctl/commandresult.h"
#include "libapricot/cataloguejson.h"

#include <boost/json/object.hpp>

#include <random>

namespace Apricot {

namespace {

    // Runs one call of the platform to completion on a separate io_context.
    template <typename Call>
    auto runCall(const PlatformClientOptions& options, Call call)
    {
        boost::asio::io_context context;
        PlatformClient client(context, options);
        try {
            return runBlocking(context, call(client));
        } catch (const PlatformUnavailable& error) {
            throw CommandError(
                ExitCode::Failed, std::string("platform unavailable: ") + error.what());
        }
    }

    std::string newChangeId()
    {
        std::random_device random;
        return std::to_string(random()) + "-" + std::to_string(random());
    }

    // Returns the version of a stored write. Throws CommandError for a conflict or an unknown
    // outcome.
    struct WriteResultVisitor {
        const std::string& key;
        ObjectVersion baseVersion;

        ObjectVersion operator()(const WriteStored& stored) const { return stored.version; }
        ObjectVersion operator()(const WriteConflict& conflict) const
        {
            const std::string messagePrefix = key + ": conflict: this change is based on "
                + (baseVersion == 0 ? "no object" : "version " + std::to_string(baseVersion))
                + ", but ";
            if (!conflict.current)
                throw CommandError(ExitCode::Conflict, messagePrefix + "the object has been deleted");
            throw CommandError(ExitCode::Conflict,
                messagePrefix + "version " + std::to_string(conflict.current->version) + " by "
                    + changedBy(conflict.current->value) + " stands; nothing was written");
        }
        ObjectVersion operator()(const WriteUnknown& unknown) const
        {
            throw CommandError(ExitCode::Failed,
                key + ": it is not known whether the change was written (" + unknown.detail
                    + "); read the object before trying again");
        }
    };

}

PlatformStore::PlatformStore(PlatformClientOptions options, ChangeAuthor author)
    : m_options(std::move(options))
    , m_author(std::move(author))
{
}

std::optional<PlatformObject> PlatformStore::get(const std::string& key)
{
    return runCall(m_options, [&key](PlatformClient& client) { return client.get(key); });
}

std::vector<PlatformObject> PlatformStore::list(const std::string& prefix)
{
    return runCall(m_options, [&prefix](PlatformClient& client) { return client.list(prefix); })
        .objects;
}

ObjectVersion PlatformStore::put(
    const std::string& key, const boost::json::value& spec, ObjectVersion ifVersion)
{
    boost::json::value value = spec;
    const boost::json::value change { { "by", m_author.name }, { "id", newChangeId() } };
    value.as_object()[changeField] = change;
    const auto isOwnWrite = [&change](const PlatformObject& object) {
        const boost::json::object* fields = object.value.if_object();
        const boost::json::value* storedChange
            = fields == nullptr ? nullptr : fields->if_contains(changeField);
        return storedChange != nullptr && *storedChange == change;
    };
    const WriteResult result = runCall(m_options, [&](PlatformClient& client) {
        return client.putConfirmed(key, value, ifVersion, isOwnWrite);
    });
    return std::visit(WriteResultVisitor { key, ifVersion }, result);
}

void PlatformStore::remove(const std::string& key, ObjectVersion ifVersion)
{
    const WriteResult result = runCall(
        m_options, [&](PlatformClient& client) { return client.remove(key, ifVersion); });
    std::visit(WriteResultVisitor { key, ifVersion }, result);
}

boost::json::value withoutChangeField(const boost::json::value& value)
{
    boost::json::value stripped = value;
    if (boost::json::object* fields = stripped.if_object())
        fields->erase(changeField);
    return stripped;
}

std::string changedBy(const boost::json::value& value)
{
    const boost::json::object* fields = value.if_object();
    const boost::json::value* change
        = fields == nullptr ? nullptr : fields->if_contains(changeField);
    const boost::json::value* author = change == nullptr || !change->is_object()
        ? nullptr
        : change->get_object().if_contains("by");
    if (author == nullptr || !author->is_string())
        return "unknown";
    return { author->get_string().data(), author->get_string().size() };
}

}
