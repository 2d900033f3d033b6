#pragma once

#include "libapricot/cellstate.h"

#include <boost/json/value.hpp>

#include <stdexcept>

namespace Apricot {

// Thrown for a platform object that does not contain a valid cell state.
class CellStateError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Value of the platform object cells/<cell>.
boost::json::value cellStateToJson(const CellState& state);
CellState parseCellState(const boost::json::value& value);

}
