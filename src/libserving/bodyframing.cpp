#include "libserving/bodyframing.h"

namespace Apricot {

std::string_view bodyFramingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::ConnectionEnd:
        return "connection_end";
    }
    return "unknown";
}

}
