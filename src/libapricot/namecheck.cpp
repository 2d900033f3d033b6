#include "libapricot/namecheck.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

namespace Apricot {

namespace {

    constexpr std::size_t nameLengthLimit = 64;

    bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.'
            || character == '_' || character == '-';
    }

}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= nameLengthLimit
        && std::isalnum(static_cast<unsigned char>(text.front())) != 0
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isValidAddress(const std::string& text)
{
    in6_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1
        || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

}
