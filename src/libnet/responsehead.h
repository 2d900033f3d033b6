#pragma once

namespace Apricot {

// Whether a status is final and of a class that HTTP defines: 200 to 599 (RFC 9110, section 15).
bool isFinalStatus(int status);

}
