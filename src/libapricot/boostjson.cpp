// Compiles the header-only Boost.JSON once for the whole tree.
#include <boost/json/src.hpp>
