/// @file
/// Provisional ownership in a data centre that cannot reach the store.
///
/// The workers' leases are the fence: an instance serves a cell provisionally
/// only after a majority of the cell's workers accepted its epoch; from then on
/// they refuse every lower epoch. A durable claim ends the provisional
/// ownership once the store answers.

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

/// Ask every worker of the cell for its report under `epoch`, which grants the
/// lease; report each answer with `HandleLeaseGranted` or `HandleLeaseRefused`.
struct RequestLeases {
  CellId cell;
  Epoch epoch;
};

/// A majority granted the lease: serve the cell under `epoch`. Requests that
/// need a durable record before they are accepted must be refused.
struct ServeProvisionally {
  CellId cell;
  Epoch epoch;
};

/// Stop at once: a higher epoch is known, a worker refused the lease, or too
/// few workers granted it in time.
struct EndProvisional {
  CellId cell;
  Epoch epoch;
};

using ProvisionalAction =
    std::variant<RequestLeases, ServeProvisionally, EndProvisional>;

struct ProvisionalSettings {
  /// How long the store must have been failing before an attempt.
  Duration store_outage_delay = 3s;
  /// Delay for each candidate that ranks before this instance.
  Duration claim_stagger = 1s;
  Duration lease_timeout = 3s;  ///< Then a new attempt starts.
};

/// A cell that the planner may serve provisionally.
struct ProvisionalCandidate {
  CellId cell;
  std::vector<WorkerId> workers;
  Epoch row_epoch;  ///< Highest that the caller knows.
};

/// Width of the slot in the low bits of the provisional counter; the high bits
/// count rounds. The slot is a hash of the instance and its incarnation, so
/// that two instances that cannot reach each other do not use the same epoch.
inline constexpr int kProvisionalSlotBits = 20;

/// @return the instance's provisional epoch in the round after that of
///     `highest`, or nothing when no round is left.
[[nodiscard]] std::optional<Epoch> NextProvisionalEpoch(
    const Epoch& highest, const InstanceId& instance,
    std::uint64_t incarnation);

/// Plans provisional ownership by one instance. Not thread-safe: one duty owns
/// it.
class ProvisionalPlanner {
 public:
  ProvisionalPlanner(const ProvisionalSettings& settings, InstanceId self,
                     std::uint64_t incarnation);

  /// @param cells the cells of the own data centre that this instance does not
  ///     own durably.
  /// @param store_down_since since when the store has been failing; nothing
  ///     while it answers, and then no attempt starts.
  [[nodiscard]] std::vector<ProvisionalAction> Plan(
      const View& view, const std::vector<ProvisionalCandidate>& cells,
      std::optional<TimePoint> store_down_since, TimePoint now);

  /// Handles the report of a worker that accepted `epoch`.
  [[nodiscard]] std::vector<ProvisionalAction> HandleLeaseGranted(
      const CellId& cell, const Epoch& epoch, WorkerId worker);

  /// Handles the refusal of a worker that knows a higher epoch.
  [[nodiscard]] std::vector<ProvisionalAction> HandleLeaseRefused(
      const CellId& cell, const Epoch& epoch);

  /// Ends the attempt after a durable claim by this instance or another one.
  void HandleDurableEpoch(const CellId& cell);

  /// @return whether this instance serves the cell provisionally.
  [[nodiscard]] bool IsServing(const CellId& cell) const;

 private:
  struct Attempt {
    Epoch epoch;
    TimePoint started;
    std::size_t worker_count = 0;  ///< Of the cell.
    std::set<WorkerId> granted;
    bool serving = false;
  };

  /// Also records since when the cell has been without a live owner.
  [[nodiscard]] bool IsDue(const View& view, const Candidates& candidates,
                           const CellId& cell, TimePoint now);
  /// @return whether a higher epoch than the attempt's is known.
  [[nodiscard]] bool IsSuperseded(const View& view,
                                  const ProvisionalCandidate& candidate,
                                  const Attempt& attempt) const;

  [[nodiscard]] std::optional<Epoch> ChooseEpoch(const CellId& cell);

  ProvisionalSettings settings_;
  InstanceId self_;
  std::uint64_t incarnation_;
  /// Epochs of attempts that timed out before serving, for use by the next
  /// attempt.
  std::map<CellId, Epoch> unused_epochs_;
  std::map<CellId, Attempt> attempts_;
  std::map<CellId, Epoch> highest_epochs_;
  std::map<CellId, TimePoint> ownerless_since_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_PROVISIONAL_H_
