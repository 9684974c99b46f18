/// @file
/// Provisional ownership in a data centre that is cut off from the store.
///
/// The workers' leases do the fencing: an instance serves a cell provisionally
/// only after a majority of the cell's workers accepted its epoch, after which
/// they refuse every lower one. A durable claim ends it once the store answers.

#ifndef JASMINESPAR_MEMBERSHIP_PROVISIONAL_H_
#define JASMINESPAR_MEMBERSHIP_PROVISIONAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/candidates.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// Ask every worker of the cell for its report under `epoch`, which gives the
/// lease; answer with `HandleLeaseGranted` or `HandleLeaseRefused`.
struct RequestLeases {
  CellId cell;
  Epoch epoch;
};

/// Enough workers granted: serve the cell under `epoch`. Nothing that needs a
/// durable record first may be accepted.
struct ServeProvisionally {
  CellId cell;
  Epoch epoch;
};

/// Stop at once: a higher epoch is known, or the leases were refused.
struct EndProvisional {
  CellId cell;
  Epoch epoch;
};

using ProvisionalAction =
    std::variant<RequestLeases, ServeProvisionally, EndProvisional>;

struct ProvisionalSettings {
  /// The store must have failed for so long.
  Duration store_down_after = 3s;
  Duration claim_stagger = 1s;   ///< For each better-ranked candidate.
  Duration obtain_timeout = 3s;  ///< Then another attempt, in a new round.
};

/// A cell, its workers and the highest epoch that was read from its row.
struct ProvisionalCandidate {
  CellId cell;
  std::vector<WorkerId> workers;
  Epoch row_epoch;
};

/// The low bits of the provisional counter are a hash of the instance and its
/// incarnation, so that two instances that cannot hear each other do not use
/// the same epoch; the high bits count rounds.
inline constexpr int kSlotBits = 20;

/// @return the smallest provisional epoch of a later round than `highest` that
///     belongs to the instance, or nothing when the rounds are used up.
[[nodiscard]] std::optional<Epoch> NextProvisionalEpoch(
    const Epoch& highest, const InstanceId& instance,
    std::uint64_t incarnation);

/// Not thread-safe: one duty owns it.
class ProvisionalPlanner {
 public:
  ProvisionalPlanner(const ProvisionalSettings& settings, InstanceId self,
                     std::uint64_t incarnation);

  /// @param store_down_since since when the store has failed; nothing while it
  ///     answers, and then no cell is newly taken.
  /// @param cells cells of the own data centre not held durably here.
  [[nodiscard]] std::vector<ProvisionalAction> Plan(
      const View& view, const std::vector<ProvisionalCandidate>& cells,
      std::optional<TimePoint> store_down_since, TimePoint now);

  /// The worker accepted `epoch` and reported.
  [[nodiscard]] std::vector<ProvisionalAction> HandleLeaseGranted(
      const CellId& cell, const Epoch& epoch, WorkerId worker);

  /// The worker knows a higher epoch.
  [[nodiscard]] std::vector<ProvisionalAction> HandleLeaseRefused(
      const CellId& cell, const Epoch& epoch);

  /// This instance has claimed the cell durably, or another one has.
  void HandleDurableEpoch(const CellId& cell);

  /// @return whether this instance serves the cell provisionally.
  [[nodiscard]] bool Serves(const CellId& cell) const;

 private:
  struct Attempt {
    Epoch epoch;
    TimePoint started;
    std::size_t workers = 0;  ///< Of the cell.
    std::set<WorkerId> granted;
    bool serving = false;
  };

  [[nodiscard]] bool IsDue(const View& view, const Candidates& candidates,
                           const CellId& cell, TimePoint now);
  [[nodiscard]] bool IsOutdone(const View& view,
                               const ProvisionalCandidate& cut_off,
                               const Attempt& attempt) const;

  [[nodiscard]] std::optional<Epoch> ChooseEpoch(const CellId& cell);

  ProvisionalSettings settings_;
  InstanceId self_;
  std::uint64_t incarnation_;
  /// Epochs of attempts that timed out before serving: still this instance's.
  std::map<CellId, Epoch> unused_;
  std::map<CellId, Attempt> attempts_;
  std::map<CellId, Epoch> highest_;
  std::map<CellId, TimePoint> ownerless_since_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_PROVISIONAL_H_
