#include "libapricot/attempt.h"

namespace Apricot {

std::string formatAttemptId(const AttemptId& attempt)
{
    return attempt.key.value() + "/" + std::to_string(attempt.stage) + "/"
        + std::to_string(attempt.attempt) + "/" + attempt.coordinator;
}

}
