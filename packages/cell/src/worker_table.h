/// @file
/// What a cell knows of its workers: whether each may be given work, and
/// which calls occupy its accelerators.

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
  /// @param lease after which an unlisted worker counts as lapsed.
  WorkerTable(configuration::CellTopology topology, Duration lease);

  void ApplyTopology(configuration::CellTopology topology, TimePoint now);

  /// The worker told all it has; it may be given work unless it leaves.
  void MarkReported(WorkerId worker, bool leaving);
  void MarkLapsed(WorkerId worker);
  void MarkLeaving(WorkerId worker);
  /// Gives the worker nothing new for a short time.
  void Suspend(WorkerId worker, TimePoint now);
  /// A worker with tasks that the scheduler does not know gets nothing new.
  void SetStrays(WorkerId worker, bool has_strays);

  /// @return the topology for the scheduler, in which every worker that may
  ///     not be given work is leaving; nothing when it has not changed.
  [[nodiscard]] std::optional<configuration::CellTopology> TakeUsable(
      TimePoint now);

  /// @return workers unlisted for longer than their lease; each given once.
  [[nodiscard]] std::vector<WorkerId> TakeLapsed(TimePoint now);

  [[nodiscard]] std::optional<TimePoint> next_wake() const;
  [[nodiscard]] bool IsListed(WorkerId worker) const;
  [[nodiscard]] bool HasReported(WorkerId worker) const;
  /// @return listed workers that have not reported yet.
  [[nodiscard]] bool AllReported() const;

  /// @throws std::logic_error when an accelerator is occupied already.
  void Occupy(const CallId& call, const scheduling::Placement& placement);
  void Vacate(const CallId& call, const scheduling::Placement& placement);
  [[nodiscard]] bool IsFree(const scheduling::Allocation& allocation) const;
  /// @return the calls that occupy the worker.
  [[nodiscard]] std::vector<CallId> CallsOn(WorkerId worker) const;

 private:
  struct Entry {
    configuration::Worker worker;
    bool listed = false;  ///< One that is listed again needs no new report.
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
  std::vector<WorkerId> order_;  ///< As listed.
  std::map<WorkerId, Masks> occupied_;
  bool changed_ = true;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_WORKER_TABLE_H_
