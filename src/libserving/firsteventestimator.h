#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Estimates the time from sending a request to a model engine to its first event, as a moving average
// over earlier requests.
class FirstEventEstimator {
public:
    // Records the time until the first event of a request with `promptTokens` prompt tokens.
    void recordFirstEvent(double promptTokens, Duration elapsed);
    Milliseconds expectedTime(double promptTokens) const;

private:
    // The fixed cost of a request is included as additional tokens.
    double m_millisecondsPerToken = 0.04;
};

}
