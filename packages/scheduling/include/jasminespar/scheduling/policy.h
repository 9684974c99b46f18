/// @file
/// The interchangeable policies of a scheduler, as variants. Settings choose an
/// alternative by its name.

#ifndef JASMINESPAR_SCHEDULING_POLICY_H_
#define JASMINESPAR_SCHEDULING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::scheduling {

/// Strict arrival order: a job that does not fit blocks all later jobs.
struct FirstComeFirstServed {};

/// Arrival order with EASY backfill: later jobs may start before a blocked head
/// if they end, by their declared run time, before the head is expected to
/// start.
struct DeclaredBackfill {
  std::uint32_t depth = 256;  ///< Jobs considered behind the head.
};

/// Orders jobs by level of attained service, then by the account's weighted
/// share of borrowed accelerators, then by arrival.
struct LeastAttainedService {
  /// Attained service (accelerators times run time) below which a job is in the
  /// first level. The limit of each further level is ten times higher.
  Duration first_level_limit = 5s;
  /// A waiting job moves up one level each time this interval has passed; zero:
  /// never.
  Duration ageing = 60s;
  /// Whether the level of a new job is estimated from the run times of earlier
  /// jobs of the same service and gang size.
  bool learn_run_times = true;
  /// How long a job of the first level waits before borrowed jobs of worse
  /// levels are preempted for it; zero: never. Batch jobs preempt none.
  Duration preemption_delay = 200ms;
  /// A gang is not preempted for a job of a better level before it has run this
  /// long.
  Duration preemption_min_run_time = 5s;
  /// How long a guaranteed job of the first level waits for free accelerators
  /// before borrowed ones are reclaimed for it. Until then it is tried before
  /// jobs that would borrow.
  Duration reclaim_delay = 300ms;
};

/// Number of levels of attained service.
inline constexpr std::size_t kServiceLevels = 4;

/// @param service attained service: accelerators times run time.
/// @return the level, 0 to kServiceLevels - 1.
[[nodiscard]] std::uint8_t LevelOfService(const LeastAttainedService& policy,
                                          Duration service);

using QueuePolicy =
    std::variant<FirstComeFirstServed, DeclaredBackfill, LeastAttainedService>;

/// Chooses the accelerators with the lowest numbers that fit.
struct FirstFit {};

/// Chooses the place that splits the smallest free subtree.
struct BestFit {};

using PlacementPolicy = std::variant<FirstFit, BestFit>;

/// Accepts jobs until a queue limit is reached.
struct AdmitUntilFull {};

/// Also refuses a job that would start after its deadline, judged by the recent
/// rate of starts.
struct RefuseUnreachableDeadline {
  Duration window = 10s;  ///< Averaging window of the rate.
  /// Starts in the window below which no job is refused for its deadline.
  std::uint32_t min_starts = 8;
};

using AdmissionPolicy = std::variant<AdmitUntilFull, RefuseUnreachableDeadline>;

enum class QueuePolicyKind : std::uint8_t {
  kFirstComeFirstServed,
  kDeclaredBackfill,
  kLeastAttainedService,
};

inline constexpr NameTable<QueuePolicyKind, 3> kQueuePolicyNames{{
    {QueuePolicyKind::kFirstComeFirstServed, "first_come_first_served",
     "Strict arrival order."},
    {QueuePolicyKind::kDeclaredBackfill, "declared_backfill",
     "Arrival order with backfill on declared run times."},
    {QueuePolicyKind::kLeastAttainedService, "least_attained_service",
     "Levels of attained service with account shares."},
}};
static_assert(IsDense(kQueuePolicyNames));

/// @return the policy of that kind with default parameters.
[[nodiscard]] QueuePolicy MakeQueuePolicy(QueuePolicyKind kind);

enum class PlacementPolicyKind : std::uint8_t { kFirstFit, kBestFit };

inline constexpr NameTable<PlacementPolicyKind, 2> kPlacementPolicyNames{{
    {PlacementPolicyKind::kFirstFit, "first_fit", "Lowest numbers that fit."},
    {PlacementPolicyKind::kBestFit, "best_fit", "Tightest subtree that fits."},
}};
static_assert(IsDense(kPlacementPolicyNames));

/// @return the policy of that kind.
[[nodiscard]] PlacementPolicy MakePlacementPolicy(PlacementPolicyKind kind);

/// Checks after each decision: of the feasibility rule only, or also a full
/// recount of the allocator's state.
enum class Validation : std::uint8_t { kIncremental, kFull };

/// Check that a test disables to show that the invariants detect its absence.
enum class Mutation : std::uint8_t { kNone, kSkipFeasibilityCheck };

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_POLICY_H_
