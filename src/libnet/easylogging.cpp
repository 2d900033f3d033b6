// Compiles the logging library once for the whole tree.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
