#pragma once

#include "libnet/httprequestreader.h"

#include <string>
#include <vector>

namespace Apricot {

// The response to a request that could not be read, which therefore has reached no handler.
struct ReadRejection {
    int status = 0;
    std::string body;
    std::vector<HttpField> fields;
};

// The response for each end but Complete and Disconnected.
ReadRejection rejectionFor(RequestReadEnd end);

}
