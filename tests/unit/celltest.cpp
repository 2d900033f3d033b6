#include "cellsimulation.h"
#include "property.h"

#include <iostream>

using namespace Apricot;

TEST_GROUP(Cell) {};

TEST(Cell, neverGivesAReplicaTwoHomesUnderFaults)
{
    checkProperty("no two homes, nothing reverts, and the cell recovers", [](std::uint64_t seed) {
        CellSimulation simulation({ .seed = seed });
        const std::string violation = simulation.run();
        if (!violation.empty())
            RC_FAIL(violation + ", seed " + std::to_string(seed));
    });
}
