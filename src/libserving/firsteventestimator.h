#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Expected time from sending a request to a model engine to its first event, from those seen.
class FirstEventEstimator {
public:
    // An engine sent the first event of a request with so many prompt tokens.
    void recordFirstEvent(double promptTokens, Duration elapsed);
    Milliseconds expected(double promptTokens) const;

private:
    // Milliseconds for each token, with the fixed part counted as tokens.
    double m_millisecondsPerToken = 0.04;
};

}
