#include "libserving/streamend.h"

namespace Apricot {

StreamEnd streamEndOf(BodyFraming framing, const EventSplitter& events, bool hasEvents)
{
    if (events.isInsideEvent())
        return StreamEnd::Broken;
    if (framing != BodyFraming::ConnectionEnd)
        return StreamEnd::Complete;
    return hasEvents ? StreamEnd::Unproven : StreamEnd::Broken;
}

}
