#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 30U;
        value *= 0xbf58476d1ce4e5b9ULL;
        value ^= value >> 27U;
        value *= 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mix(seed + 0x9e3779b97f4a7c15ULL);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::vector<HostId> rankHosts(std::string_view key, const std::vector<HostId>& hosts)
{
    struct Ranked {
        std::uint64_t score;
        const HostId* host;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(hosts.size());
    const std::uint64_t keyHash = stableHash(key);
    for (const HostId& host : hosts)
        ranked.push_back({ stableHash(host.value(), keyHash), &host });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        return left.score != right.score ? left.score > right.score : *left.host < *right.host;
    });
    std::vector<HostId> order;
    order.reserve(ranked.size());
    for (const Ranked& entry : ranked)
        order.push_back(*entry.host);
    return order;
}

}
