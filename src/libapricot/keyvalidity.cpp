#include "libapricot/keyvalidity.h"

#include "libapricot/rendezvous.h"

#include <cctype>
#include <cstdint>
#include <string_view>

namespace Apricot {

namespace {

    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionPosition = 14;
    constexpr std::size_t variantPosition = 19;
    constexpr std::size_t timestampDigits = 12;

    bool isDash(std::size_t position)
    {
        return position == 8 || position == 13 || position == 18 || position == 23;
    }

    bool isUuid(std::string_view text)
    {
        if (text.size() != uuidLength)
            return false;
        for (std::size_t position = 0; position < text.size(); ++position) {
            const bool isHex = std::isxdigit(static_cast<unsigned char>(text[position])) != 0;
            if (isDash(position) ? text[position] != '-' : !isHex)
                return false;
        }
        return true;
    }

}

std::optional<WallTime> timeOfKey(const RequestKey& key)
{
    const std::string& text = key.value();
    if (!isUuid(text) || text[versionPosition] != '7')
        return std::nullopt;
    if (std::string_view("89abAB").find(text[variantPosition]) == std::string_view::npos)
        return std::nullopt;
    const std::string digits = text.substr(0, 8) + text.substr(9, timestampDigits - 8);
    return WallTime(std::chrono::milliseconds(std::stoll(digits, nullptr, 16)));
}

KeyValidity validityOfKey(const RequestKey& key, WallTime now)
{
    const std::optional<WallTime> createdAt = timeOfKey(key);
    if (!createdAt || *createdAt > now + keyClockTolerance)
        return KeyValidity::Malformed;
    return *createdAt + keyLifetime < now ? KeyValidity::Expired : KeyValidity::Usable;
}

unsigned claimPartition(const RequestKey& key)
{
    return static_cast<unsigned>(stableHash(key.value()) % claimPartitions);
}

std::string claimObjectKey(const RequestKey& key, WallTime keyTime)
{
    return claimObjectKey(claimPartition(key), keyTime);
}

std::string claimObjectKey(unsigned partition, WallTime keyTime)
{
    const auto hour = std::chrono::floor<std::chrono::hours>(keyTime).time_since_epoch().count();
    return "claims/" + std::to_string(hour) + "/" + std::to_string(partition);
}

}
