#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <vector>

namespace Apricot {

// Prompt prefixes that the engine still holds, least recently used first out. One word of input
// counts as one token.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityTokens);

    // Number of leading tokens that are held already. Afterwards the whole input is held, unless it
    // is larger than the cache.
    std::size_t lookUpAndStore(const std::string& input);
    void clear();

private:
    void evict();

    std::size_t m_capacityTokens;
    std::size_t m_storedTokens = 0;
    std::list<std::vector<std::string>> m_entries;
};

// Splits an input into its tokens.
std::vector<std::string> splitTokens(const std::string& input);

}
