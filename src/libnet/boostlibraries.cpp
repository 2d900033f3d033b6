// Compiles the header-only Boost libraries once for the whole tree.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
