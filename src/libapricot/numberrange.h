#pragma once

#include <compare>

namespace Apricot {

// Inclusive range of a number.
template <typename Number>
struct NumberRange {
    Number minimum;
    Number maximum;

    auto operator<=>(const NumberRange&) const = default;
};

}
