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

// An outage that lasted until the faults ended.
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
