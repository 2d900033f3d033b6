// Compiles the header-only Boost.JSON once for the whole project.
#include <boost/json/src.hpp>
