#include "dispatch/platformclaimstore.h"

#include <boost/json.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace Json = boost::json;

namespace {

    ClaimObject toClaims(const std::optional<PlatformObject>& object)
    {
        ClaimObject claims;
        if (!object)
            return claims;
        claims.version = object->version;
        for (const auto& member : object->value.as_object())
            claims.entries.emplace(member.key(), member.value().as_string());
        return claims;
    }

    Json::value toJson(const ClaimEntries& entries)
    {
        Json::object object;
        for (const auto& [key, token] : entries)
            object[key] = token;
        return object;
    }

    ClaimPutResult toResult(const WriteStored& stored)
    {
        return ClaimPutAccepted { stored.version };
    }

    ClaimPutResult toResult(const WriteConflict& conflict)
    {
        return ClaimPutConflict { toClaims(conflict.current) };
    }

    ClaimPutResult toResult(const WriteUnknown& /*unknown*/)
    {
        return ClaimPutLost {};
    }

}

PlatformClaimStore::PlatformClaimStore(PlatformClient& platform)
    : m_platform(platform)
{
}

Asio::awaitable<ClaimObject> PlatformClaimStore::read(std::string objectKey)
{
    try {
        const std::optional<PlatformObject> object = co_await m_platform.get(std::move(objectKey));
        co_return toClaims(object);
    } catch (const PlatformUnavailable& error) {
        throw ClaimStoreUnavailable(error.what(), error.retryAfter());
    }
}

Asio::awaitable<ClaimPutResult> PlatformClaimStore::compareAndPut(
    std::string objectKey, ClaimObject object)
{
    try {
        const WriteResult result = co_await m_platform.put(
            std::move(objectKey), toJson(object.entries), object.version);
        co_return std::visit([](const auto& outcome) { return toResult(outcome); }, result);
    } catch (const PlatformUnavailable& error) {
        throw ClaimStoreUnavailable(error.what(), error.retryAfter());
    }
}

Asio::awaitable<void> PlatformClaimStore::remove(std::string objectKey)
{
    try {
        co_await m_platform.remove(std::move(objectKey), std::nullopt);
    } catch (const PlatformUnavailable& error) {
        throw ClaimStoreUnavailable(error.what(), error.retryAfter());
    }
}

}
