#include "prefixcache.h"

#include <algorithm>
#include <sstream>

namespace Apricot {

std::vector<std::string> splitTokens(const std::string& input)
{
    std::istringstream stream(input);
    std::vector<std::string> tokens;
    std::string token;
    while (stream >> token)
        tokens.push_back(token);
    return tokens;
}

PrefixCache::PrefixCache(std::size_t capacityTokens)
    : m_capacityTokens(capacityTokens)
{
}

std::size_t PrefixCache::lookUpAndStore(const std::string& input)
{
    std::vector<std::string> tokens = splitTokens(input);
    std::size_t longestMatch = 0;
    for (const auto& entry : m_entries) {
        const auto difference
            = std::mismatch(entry.begin(), entry.end(), tokens.begin(), tokens.end());
        longestMatch = std::max(
            longestMatch, static_cast<std::size_t>(difference.first - entry.begin()));
    }
    m_storedTokens += tokens.size();
    m_entries.push_front(std::move(tokens));
    evict();
    return longestMatch;
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_storedTokens = 0;
}

void PrefixCache::evict()
{
    while (m_storedTokens > m_capacityTokens && !m_entries.empty()) {
        m_storedTokens -= m_entries.back().size();
        m_entries.pop_back();
    }
}

}
