/// @file
/// Random mixes of calls, reproducible from a seed.

#ifndef JASMINESPAR_STANDINS_LOAD_PLAN_H_
#define JASMINESPAR_STANDINS_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/task_directive.h"

namespace jasminespar::standins {

/// A call that the load generator is to send.
struct PlannedCall {
  CallKey key;
  Idempotence idempotence = Idempotence::kIdempotent;
  GangShape gang;
  Priority priority = Priority::kNormal;
  Duration deadline = 60s;
  TaskDirective directive;
  std::string body;
  Duration arrival{};  ///< After the start of the load.
};

struct MixSettings {
  std::uint64_t seed = 1;
  std::size_t calls = 1000;
  Duration arrival_period = 20s;  ///< Over which the calls arrive.
  Duration deadline = 60s;        ///< Of each call, from its arrival.
  int accounts = 4;               ///< Named as in MakeFirstNote.
  bool straggler = true;          ///< Add a gang that runs half the period.
  /// Of the calls; these arrive within a tenth of the period.
  double burst_share = 0.4;
  double non_idempotent_share = 0.2;  ///< Of the calls.
};

/// @return calls for one accelerator, gangs of 2 to 16 accelerators, the
///     straggler and the burst, in order of arrival.
[[nodiscard]] std::vector<PlannedCall> PlanMix(const MixSettings& settings);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LOAD_PLAN_H_
