#pragma once

namespace Apricot {

// Exit codes of apricotctl, for scripts.
enum class ExitCode {
    Done = 0,
    // The platform or a daemon could not be reached, or the outcome of a write is not known.
    Failed = 1,
    // The command line or a catalogue file is not valid; nothing was written.
    Invalid = 2,
    // Another operator changed the object; this change was not written.
    Conflict = 3,
    NotFound = 4,
    // diff found a difference, or status found a host that has an outdated version in force or
    // reports an invalid object.
    Different = 5,
};

}
