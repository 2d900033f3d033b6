#include "dispatch/platformclaimstore.h"

#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    boost::json::value claimObjectToJson(const ClaimEntries& entries)
    {
        boost::json::object keys;
        for (const auto& [key, token] : entries)
            keys[key] = token;
        return boost::json::object { { "keys", std::move(keys) } };
    }

    ClaimObject parseClaimObject(const std::optional<PlatformObject>& stored)
    {
        ClaimObject object;
        if (!stored)
            return object;
        object.version = stored->version;
        for (const auto& entry : stored->value.at("keys").as_object())
            object.entries[std::string(entry.key())] = std::string(entry.value().as_string());
        return object;
    }

}

Asio::awaitable<ClaimObject> PlatformClaimStore::read(std::string objectKey)
{
    try {
        co_return parseClaimObject(co_await m_platform.get(std::move(objectKey)));
    } catch (const PlatformUnavailable& error) {
        throw ClaimStoreUnavailable(error.what(), error.retryAfter());
    }
}

Asio::awaitable<ClaimWriteResult> PlatformClaimStore::compareAndPut(
    std::string objectKey, ClaimObject object)
{
    try {
        const WriteResult result = co_await m_platform.put(
            std::move(objectKey), claimObjectToJson(object.entries), object.version);
        if (const auto* stored = std::get_if<WriteStored>(&result))
            co_return ClaimWriteAccepted { .version = stored->version };
        if (const auto* conflict = std::get_if<WriteConflict>(&result))
            co_return ClaimWriteConflict { .current = parseClaimObject(conflict->current) };
        co_return ClaimWriteUnknown {};
    } catch (const PlatformUnavailable& error) {
        throw ClaimStoreUnavailable(error.what(), error.retryAfter());
    }
}

Asio::awaitable<void> PlatformClaimStore::remove(std::string objectKey)
{
    try {
        co_await m_platform.remove(std::move(objectKey), std::nullopt);
    } catch (const PlatformUnavailable&) {
        // The object stays; its keys are refused as expired in any case.
    }
}

}
