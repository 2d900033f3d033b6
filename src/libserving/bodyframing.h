#pragma once

#include <string_view>

namespace Apricot {

// How a response says where its body ends.
enum class BodyFraming {
    Length,
    Chunks,
    // Neither a length nor chunks: the body ends with its connection.
    ConnectionEnd,
};

// Name for logs.
std::string_view bodyFramingName(BodyFraming framing);

}
