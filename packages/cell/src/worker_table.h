/// @file
/// The workers of a cell: whether each may be given new work, and which calls
/// occupy its accelerators.

#ifndef JASMINESPAR_CELL_WORKER_TABLE_H_
#define JASMINESPAR_CELL_WORKER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::cell {

class WorkerTable {
 public:
  /// @param lease time after which an unlisted worker is lost.
  WorkerTable(configuration::CellTopology topology, Duration lease);

  void ApplyTopology(configuration::CellTopology topology, TimePoint now);

  /// Records a full report; the worker may be given work unless it is leaving.
  void MarkReported(WorkerId worker, bool leaving);
  /// The worker gets no new work until it reports again.
  void MarkLost(WorkerId worker);
  void MarkLeaving(WorkerId worker);
  /// Blocks new work on the worker for a short time.
  void Suspend(WorkerId worker, TimePoint now);
  /// A worker with stray tasks, which the scheduler does not know of, gets no
  /// new work.
  void SetStrays(WorkerId worker, bool has_strays);

  /// @return the topology for the scheduler, in which every worker that may not
  ///     be given new work is marked as leaving; nothing if it is unchanged.
  [[nodiscard]] std::optional<configuration::CellTopology>
  TakeSchedulableTopology(TimePoint now);

  /// Removes the workers that have been unlisted for the lease time.
  /// @return their ids.
  [[nodiscard]] std::vector<WorkerId> TakeExpired(TimePoint now);

  [[nodiscard]] std::optional<TimePoint> next_timer() const;
  [[nodiscard]] bool IsListed(WorkerId worker) const;
  [[nodiscard]] bool HasReported(WorkerId worker) const;
  /// @return whether every worker that is not gone has reported.
  [[nodiscard]] bool AllReported() const;

  /// @throws std::logic_error when an accelerator is occupied already.
  void Occupy(const CallId& call, const scheduling::Placement& placement);
  /// @throws std::logic_error when an accelerator is not occupied by the call.
  void Free(const CallId& call, const scheduling::Placement& placement);
  [[nodiscard]] bool IsFree(const scheduling::Allocation& allocation) const;
  /// @return the calls that occupy accelerators of the worker.
  [[nodiscard]] std::vector<CallId> CallsOn(WorkerId worker) const;

 private:
  struct Entry {
    configuration::Worker worker;
    bool listed = false;  ///< A worker listed again needs no new report.
    std::optional<TimePoint> unlisted_since;
    bool reported = false;
    bool leaving = false;
    bool strays = false;
    std::optional<TimePoint> suspended_until;
  };
  using Masks = std::map<CallId, std::uint64_t>;

  Entry* Find(WorkerId worker);

  CellId cell_;
  Duration lease_;
  std::map<WorkerId, Entry> entries_;
  std::vector<WorkerId> order_;  ///< In the order of the list.
  std::map<WorkerId, Masks> occupied_;
  bool changed_ = true;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_WORKER_TABLE_H_
