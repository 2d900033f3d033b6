#pragma once

#include "libapricot/servercrash.h"
#include "libserving/callerrequest.h"

namespace Apricot {

// What crashes of servers that run a request count against: the request, then the parts of its prompt that other
// requests may share, which are all but the last one. A prompt with more parts than a limit counts with its first ones.
std::vector<PoisonSubject> poisonSubjectsOf(Fingerprint request, const std::vector<PromptPart>& parts);

}
