#pragma once

#include <compare>

namespace Apricot {

// Bounds of a number, both included.
template <typename Number>
struct NumberRange {
    Number minimum;
    Number maximum;

    auto operator<=>(const NumberRange&) const = default;
};

}
