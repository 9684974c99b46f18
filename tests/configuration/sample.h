/// @file
/// Sample topologies, accounts and notes for tests.

#ifndef JASMINESPAR_TESTS_CONFIGURATION_SAMPLE_H_
#define JASMINESPAR_TESTS_CONFIGURATION_SAMPLE_H_

#include <string>
#include <vector>

#include "jasminespar/configuration/release_note.h"
#include "jasminespar/configuration/topology.h"

namespace jasminespar::configuration {

/// Creates one cell per data centre: "dc-0/0", "dc-1/0" and so on.
/// @param racks per data centre.
/// @param accelerators per worker.
inline std::vector<CellTopology> MakeCells(int data_centres, int racks,
                                           int workers_per_rack,
                                           int accelerators = 8) {
  std::vector<Worker> workers;
  std::uint64_t id = 0;
  for (int dc = 0; dc < data_centres; ++dc) {
    for (int i = 0; i < racks * workers_per_rack; ++i) {
      Worker worker;
      worker.id = {++id};
      worker.data_centre = {"dc-" + std::to_string(dc)};
      worker.rack = static_cast<std::uint32_t>(i / workers_per_rack);
      worker.accelerators = accelerators;
      workers.push_back(worker);
    }
  }
  return GroupIntoCells(workers, 1000);
}

inline ClientAccount MakeAccount(const std::string& id,
                                 std::vector<Guarantee> guarantees) {
  ClientAccount account;
  account.id = {id};
  account.guarantees = std::move(guarantees);
  return account;
}

inline Configuration MakeConfiguration(
    const std::vector<ClientAccount>& accounts) {
  Configuration configuration;
  configuration.revision = {1};
  for (const ClientAccount& account : accounts) {
    configuration.accounts[account.id] = account;
  }
  return configuration;
}

inline ReleaseNote MakeNote(Revision base) {
  ReleaseNote note;
  note.id = {"note"};
  note.base = base;
  return note;
}

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_TESTS_CONFIGURATION_SAMPLE_H_
