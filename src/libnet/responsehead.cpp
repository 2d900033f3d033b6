#include "libnet/responsehead.h"

namespace Apricot {

bool isFinalStatus(int status)
{
    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;
    return status >= firstFinalStatus && status <= lastStatus;
}

}
