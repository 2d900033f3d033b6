#pragma once

#include "bench/measurement.h"

namespace Apricot {

// Ranks all members of a cell for one request key.
std::vector<Measurement> measureHostRanking();
// Encodes the cell state in binary form, with five replicas per member. The bytes are the size of the
// encoded state.
std::vector<Measurement> measureCellStateEncoding();
// Copies a catalogue snapshot that has one pipeline per 300 backend servers. The bytes are its heap
// memory.
std::vector<Measurement> measureCatalogueSnapshot();
// Creates the share requests of one host for one round in a cell of 100 members. The bytes are the
// heap memory of the host's owner table.
std::vector<Measurement> measureShareRound();
// Encodes one share request to a home, by the number of owners in it. The bytes are the size of the
// message.
std::vector<Measurement> measureShareRequestEncoding();
// Chooses one server, by the number of replicas in the pool. The bytes are the heap memory of the
// router's state after the first choice.
std::vector<Measurement> measureRouterChoice();
// Heap memory of the records of finished requests with 200 tokens each. No time is measured.
std::vector<Measurement> measureRequestRecords();

}
