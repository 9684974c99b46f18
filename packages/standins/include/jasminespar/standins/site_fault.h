/// @file
/// Faults of a site and seeded plans of them.

#ifndef JASMINESPAR_STANDINS_SITE_FAULT_H_
#define JASMINESPAR_STANDINS_SITE_FAULT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/site_plan.h"
#include "jasminespar/standins/store_fault.h"

namespace jasminespar::standins {

class Site;

/// SIGKILL; started again at the end.
struct KilledInstance {
  std::size_t index = 0;
};
/// SIGSTOP; SIGCONT at the end.
struct PausedInstance {
  std::size_t index = 0;
};
/// SIGTERM; started again at the end.
struct ReplacedInstance {
  std::size_t index = 0;
};
struct FaultyStore {
  StoreFaultMode mode = StoreFaultMode::kDown;
};
struct LaggingList {};
/// Named by the key of the endpoint's `POST /admin/faults`.
struct FaultyWorker {
  WorkerId worker;
  std::string key;
};
/// Loses its tasks at once.
struct RestartedWorker {
  WorkerId worker;
};
struct CutLink {
  std::string prefix;  ///< Of the proxy's routes.
  bool to_target = true;
  bool to_source = true;
};
struct NoisyLink {
  std::string prefix;
};
/// Two operators send a note on the same base to different instances.
struct RacingNotes {
  int account = 0;
};

using SiteFault =
    std::variant<KilledInstance, PausedInstance, ReplacedInstance, FaultyStore,
                 LaggingList, FaultyWorker, RestartedWorker, CutLink, NoisyLink,
                 RacingNotes>;

struct TimedFault {
  Duration at{};
  Duration lasts{};
  SiteFault fault;
};

/// @return faults by time, the last of them over before `span`; no two act on
///     the same instance, worker, link or service at once.
[[nodiscard]] std::vector<TimedFault> PlanFaults(const SitePlan& plan,
                                                 std::uint64_t seed,
                                                 Duration span);

/// @return one line for a person.
[[nodiscard]] std::string Describe(const SiteFault& fault,
                                   const SitePlan& plan);

/// @return the instance that the fault ends, if it ends one.
[[nodiscard]] std::optional<std::size_t> EndedInstance(const SiteFault& fault);

/// Begins a fault.
void BeginFault(const SiteFault& fault, Site& site);

/// @return false while an instance that was told to end still runs.
[[nodiscard]] bool CanEnd(const SiteFault& fault, Site& site);

/// Ends a fault; kills an instance that was told to end and still runs.
void EndFault(const SiteFault& fault, Site& site);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_SITE_FAULT_H_
