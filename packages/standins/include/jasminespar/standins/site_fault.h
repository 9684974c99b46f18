/// @file
/// Faults of a site and random plans of them, reproducible from a seed.

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

/// An instance gets SIGKILL; it is started again when the fault ends.
struct KilledInstance {
  std::size_t index = 0;
};
/// An instance gets SIGSTOP, and SIGCONT when the fault ends.
struct PausedInstance {
  std::size_t index = 0;
};
/// An instance gets SIGTERM; it is started again when the fault ends.
struct ReplacedInstance {
  std::size_t index = 0;
};
struct FaultyStore {
  StoreFaultMode mode = StoreFaultMode::kDown;
};
/// The platform serves an outdated list.
struct LaggingList {};
struct FaultyWorker {
  WorkerId worker;
  std::string key;  ///< Of the endpoint's `POST /admin/faults`; set to true.
};
/// A worker restarts and loses its tasks.
struct RestartedWorker {
  WorkerId worker;
};
/// Routes pass nothing in one direction or both.
struct CutLink {
  std::string prefix;  ///< Of the names of the proxy's routes.
  bool to_target = true;
  bool to_source = true;
};
/// Routes delay, close, drop, reorder and duplicate at random.
struct NoisyLink {
  std::string prefix;  ///< Of the names of the proxy's routes.
};
/// Two release notes with the same base revision go to different instances.
struct RacingNotes {
  int account = 0;  ///< Whose weight both change.
};

using SiteFault =
    std::variant<KilledInstance, PausedInstance, ReplacedInstance, FaultyStore,
                 LaggingList, FaultyWorker, RestartedWorker, CutLink, NoisyLink,
                 RacingNotes>;

struct TimedFault {
  Duration at{};  ///< After the start of the load.
  Duration duration{};
  SiteFault fault;
};

/// @return faults in order of their start, all of which end before `duration`.
///     Faults that overlap act on different instances, workers, kinds of link
///     or services.
[[nodiscard]] std::vector<TimedFault> PlanFaults(const SitePlan& plan,
                                                 std::uint64_t seed,
                                                 Duration duration);

/// @return one line for the log.
[[nodiscard]] std::string Describe(const SiteFault& fault,
                                   const SitePlan& plan);

/// @return the instance that the fault kills or terminates, if any.
[[nodiscard]] std::optional<std::size_t> TerminatedInstance(
    const SiteFault& fault);

/// Begins a fault.
void BeginFault(const SiteFault& fault, Site& site);

/// @return false while an instance that was sent SIGTERM still runs.
[[nodiscard]] bool CanEnd(const SiteFault& fault, Site& site);

/// Ends a fault; kills an instance that was sent SIGTERM and still runs.
void EndFault(const SiteFault& fault, Site& site);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_SITE_FAULT_H_
