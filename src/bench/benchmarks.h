#pragma once

#include "bench/measurement.h"

namespace Apricot {

// Ranking all members of a cell for one key.
std::vector<Measurement> measureHostRanking();
// Writing the cell's object, with five replicas for each member. The bytes are those of its JSON.
std::vector<Measurement> measureCellStateEncoding();
// A catalogue snapshot by its backend servers, with a pipeline for every 300 of them.
std::vector<Measurement> measureCatalogueSnapshot();
// The table of owners of one host, and one round of requests for shares over a cell of 100 members.
std::vector<Measurement> measureShareRound();
// Writing one request for shares to a home, by the owners in it. The bytes are those of the message.
std::vector<Measurement> measureShareRequestEncoding();
// One choice of a server by the replicas of the pool.
std::vector<Measurement> measureRouterChoice();
// The records of finished requests of 200 tokens.
std::vector<Measurement> measureRequestRecords();

}
