#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <vector>

namespace Apricot {

// Cache of prompt prefixes. Each lookup stores its input as the newest entry, and the oldest entries
// are evicted first. One word of input counts as one token.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityTokens);

    // Returns the number of leading tokens that are already cached, and stores the complete input. An
    // input larger than the cache is not stored.
    std::size_t lookUpAndStore(const std::string& input);
    void clear();

private:
    void evict();

    std::size_t m_capacityTokens;
    std::size_t m_storedTokens = 0;
    std::list<std::vector<std::string>> m_entries;
};

// Splits an input into tokens at white space.
std::vector<std::string> splitTokens(const std::string& input);

}
