/// @file
/// Seeded mixes of calls.

#ifndef JASMINESPAR_STANDINS_LOAD_PLAN_H_
#define JASMINESPAR_STANDINS_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/task_directive.h"

namespace jasminespar::standins {

struct PlannedCall {
  CallKey key;
  Idempotence idempotence = Idempotence::kIdempotent;
  GangShape gang;
  Priority priority = Priority::kNormal;
  Duration deadline = 60s;
  TaskDirective directive;
  std::string body;
  Duration at{};  ///< After the start of the load.
};

struct MixSettings {
  std::uint64_t seed = 1;
  std::size_t calls = 1000;
  Duration arrival_period = 20s;  ///< Over which the calls arrive.
  Duration deadline = 60s;        ///< Of each call, from its arrival.
  int accounts = 4;               ///< Named as ReleaseNoteOf names them.
  bool straggler = true;     ///< One gang that runs half the arrival_period.
  double crest_share = 0.4;  ///< Of the calls; they arrive in a tenth of it.
  double non_idempotent_share = 0.2;
};

/// @return single calls, gangs of 2 to 16, one straggler and a crest, by
///     arrival.
[[nodiscard]] std::vector<PlannedCall> PlanMix(const MixSettings& settings);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LOAD_PLAN_H_
