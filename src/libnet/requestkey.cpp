#include "libnet/requestkey.h"

#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_generators.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <chrono>

namespace Apricot {

namespace {

    constexpr int timestampBytes = 6;
    constexpr int bitsPerByte = 8;
    constexpr std::size_t versionByte = 6;
    constexpr std::uint8_t versionMask = 0x0f;
    constexpr std::uint8_t version7 = 0x70;

}

RequestKey makeRequestKey()
{
    thread_local boost::uuids::random_generator generator;
    boost::uuids::uuid uuid = generator();
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    for (int index = 0; index < timestampBytes; ++index)
        uuid.data[index]
            = static_cast<std::uint8_t>(milliseconds >> (bitsPerByte * (timestampBytes - 1 - index)));
    uuid.data[versionByte] = (uuid.data[versionByte] & versionMask) | version7;
    return RequestKey(boost::uuids::to_string(uuid));
}

}
