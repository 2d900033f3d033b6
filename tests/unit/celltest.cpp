#include "cellsimulation.h"
#include "property.h"

#include <iostream>

using namespace Apricot;

TEST_GROUP(Cell) {};

TEST(Cell, neverGivesAReplicaTwoHomesUnderFaults)
{
    checkProperty("no replica has two homes, no state reverts, and the cell recovers", [](std::uint64_t seed) {
        CellSimulation simulation({ .seed = seed });
        const std::string violation = simulation.run();
        if (!violation.empty())
            RC_FAIL(violation + ", seed " + std::to_string(seed));
    });
}

// The platform outage lasts until the faults end, and members still have to read what they missed.
TEST(Cell, showsADomainChangeInTimeWithSeed66157626497832849)
{
    CellSimulation simulation({ .seed = 66157626497832849U });
    STRCMP_EQUAL("", simulation.run().c_str());
}

TEST(Cell, showsADomainChangeInTimeWithSeed7317224)
{
    CellSimulation simulation({ .seed = 7317224U });
    STRCMP_EQUAL("", simulation.run().c_str());
}
