/// @file
/// Settings, topologies, jobs and accounts for tests of the scheduler.

#ifndef JASMINESPAR_TESTS_SCHEDULING_FIXTURES_H_
#define JASMINESPAR_TESTS_SCHEDULING_FIXTURES_H_

#include <bit>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::scheduling {

inline TimePoint At(Duration since_start) { return TimePoint{since_start}; }

inline PolicySettings FullyValidated() {
  PolicySettings settings;
  settings.validation = Validation::kFull;
  return settings;
}

/// No reclaim delay, for tests of which gangs are reclaimed.
inline PolicySettings ImmediateReclaim() {
  PolicySettings settings = FullyValidated();
  settings.queue = LeastAttainedService{.reclaim_delay = Duration{}};
  return settings;
}

/// No preemption of long jobs for short ones, for tests of other mechanisms.
inline PolicySettings WithoutPreemption() {
  PolicySettings settings = FullyValidated();
  settings.queue = LeastAttainedService{.preemption_delay = Duration{}};
  return settings;
}

inline configuration::CellTopology MakeTopology(std::uint32_t racks,
                                                std::uint32_t workers_per_rack,
                                                int accelerators) {
  configuration::CellTopology topology{CellId{"dc-a/0"}, {}};
  for (std::uint32_t i = 0; i < racks * workers_per_rack; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{i + 1};
    worker.rack = i / workers_per_rack;
    worker.accelerators = accelerators;
    topology.workers.push_back(worker);
  }
  return topology;
}

inline Job MakeJob(std::uint64_t number, const std::string& account,
                   int accelerators, Adjacency adjacency = Adjacency::kAny,
                   Duration arrival = 0s) {
  Job job;
  job.id = CallId{1, number};
  job.account = ClientAccountId{account};
  job.service = ServiceId{"matching"};
  job.gang = {accelerators, adjacency};
  job.arrival = At(arrival);
  job.deadline = At(24h);
  return job;
}

inline configuration::ClientAccount MakeAccount(
    const std::string& id, std::vector<configuration::Guarantee> guarantees) {
  configuration::ClientAccount account;
  account.id = ClientAccountId{id};
  account.guarantees = std::move(guarantees);
  return account;
}

template <typename Kind>
std::vector<Kind> ActionsOf(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const Action& action : actions) {
    if (const auto* kind = std::get_if<Kind>(&action)) found.push_back(*kind);
  }
  return found;
}

inline std::vector<StartGang> StartsIn(const std::vector<Action>& actions) {
  return ActionsOf<StartGang>(actions);
}

inline int CountAccelerators(const Placement& placement) {
  int count = 0;
  for (const Allocation& part : placement.parts) {
    count += std::popcount(part.accelerators);
  }
  return count;
}

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_TESTS_SCHEDULING_FIXTURES_H_
