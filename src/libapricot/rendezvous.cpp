#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    std::uint64_t mixBits(std::uint64_t value)
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
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mixBits(seed + 0x9e3779b97f4a7c15ULL);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mixBits(hash);
}

std::vector<HostId> rankHosts(std::string_view key, const std::vector<HostId>& hosts)
{
    struct ScoredHost {
        std::uint64_t score;
        const HostId* host;
    };
    std::vector<ScoredHost> scoredHosts;
    scoredHosts.reserve(hosts.size());
    const std::uint64_t keyHash = stableHash(key);
    for (const HostId& host : hosts)
        scoredHosts.push_back({ stableHash(host.value(), keyHash), &host });
    std::sort(scoredHosts.begin(), scoredHosts.end(),
        [](const ScoredHost& left, const ScoredHost& right) {
            return left.score != right.score ? left.score > right.score : *left.host < *right.host;
        });
    std::vector<HostId> order;
    order.reserve(scoredHosts.size());
    for (const ScoredHost& entry : scoredHosts)
        order.push_back(*entry.host);
    return order;
}

}
