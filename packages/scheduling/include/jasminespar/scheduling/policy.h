/// @file
/// The interchangeable policies of a scheduler. `std::visit` picks the code;
/// settings pick the alternative by name.

#ifndef JASMINESPAR_SCHEDULING_POLICY_H_
#define JASMINESPAR_SCHEDULING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::scheduling {

/// Strict arrival order: a job that does not fit blocks all that came later.
struct FirstComeFirstServed {};

/// Arrival order in which later jobs may overtake a blocked head when their
/// declared run time ends before the head's declared start (EASY backfill).
struct DeclaredBackfill {
  std::uint32_t depth = 256;  ///< Jobs looked at behind the head.
};

/// Levels of attained service, then weighted dominant share, then arrival.
struct LeastAttainedService {
  /// Accelerator time below which a job is in the first level; each further
  /// level spans ten times more.
  Duration first_level_limit = 5s;
  /// A job rises by one level each time it has waited this long.
  Duration ageing = 60s;
  /// Whether the level starts from what earlier jobs of the same service and
  /// gang size used, rather than from zero.
  bool learn_run_times = true;
  /// How long a job of a better level waits before a running, reclaimable job
  /// outside its guarantee gives way to it; zero: never.
  Duration preemption_delay = 200ms;
  /// How long a gang runs at least before it gives way.
  Duration preemption_min_run_time = 5s;
  /// How long a guaranteed job waits for accelerators to come free before
  /// borrowed work is reclaimed for it. It goes before borrowers meanwhile.
  Duration reclaim_delay = 300ms;
};

/// Number of levels of attained service.
inline constexpr std::size_t kServiceLevels = 4;

/// @param service accelerators times run time.
/// @return the level, 0 to kServiceLevels - 1.
[[nodiscard]] std::uint8_t LevelOfService(const LeastAttainedService& policy,
                                          Duration service);

using QueuePolicy =
    std::variant<FirstComeFirstServed, DeclaredBackfill, LeastAttainedService>;

/// Lowest-numbered accelerators that fit.
struct FirstFit {};

/// Place that breaks up the smallest free subtree.
struct BestFit {};

using PlacementPolicy = std::variant<FirstFit, BestFit>;

/// Accepts until the bounds of the queues are reached.
struct AdmitUntilFull {};

/// Also refuses a job that would start after its deadline at the present rate.
struct RefuseUnreachableDeadline {
  Duration window = 10s;         ///< Over which starts are averaged.
  std::uint32_t min_starts = 8;  ///< In the window, before it is believed.
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

/// @return the policy of that kind with its defaults.
[[nodiscard]] QueuePolicy MakeQueuePolicy(QueuePolicyKind kind);

enum class PlacementPolicyKind : std::uint8_t { kFirstFit, kBestFit };

inline constexpr NameTable<PlacementPolicyKind, 2> kPlacementPolicyNames{{
    {PlacementPolicyKind::kFirstFit, "first_fit", "Lowest numbers that fit."},
    {PlacementPolicyKind::kBestFit, "best_fit", "Tightest subtree that fits."},
}};
static_assert(IsDense(kPlacementPolicyNames));

/// @return the policy of that kind.
[[nodiscard]] PlacementPolicy MakePlacementPolicy(PlacementPolicyKind kind);

/// How much the scheduler checks of its own state.
enum class Validation : std::uint8_t { kIncremental, kFull };

/// Rules that a test switches off to show that an invariant catches it.
enum class Mutation : std::uint8_t { kNone, kSkipCoverCheck };

}  // namespace jasminespar::scheduling

#endif  // JASMINESPAR_SCHEDULING_POLICY_H_
