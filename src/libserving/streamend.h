#pragma once

#include "libserving/bodyframing.h"
#include "libserving/eventsplitter.h"

namespace Apricot {

// What the regular end of a response body says about the stream of events in it.
enum class StreamEnd {
    Complete,
    Broken,
    // Nothing in the response shows whether its server had more to send.
    Unproven,
};

// Judges a response by its framing, by what followed its last event, and by whether it had any event.
StreamEnd streamEndOf(BodyFraming framing, const EventSplitter& events, bool hasEvents);

}
