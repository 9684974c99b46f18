// Workers that leave in an orderly way: when what ran there has certainly
// ended.
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// The platform deletes the entry of a worker that it has not heard of for
/// three of the intervals at which workers report to it. An entry that is
/// deleted within two of them after it was written has not expired.
constexpr int kIntervalsWithoutExpiry = 2;

}  // namespace

void Dispatcher::Impl::NoteEntry(WorkerState& worker,
                                 const WorkerEntry& entry) const {
  if (!worker.listed) {
    worker.entry_written_after.reset();
    return;
  }
  const WorkerEntry& known = worker.entry;
  // The list had the known entry at that time, so another one is newer.
  const bool written_anew = entry.clock != known.clock ||
                            entry.leaving != known.leaving ||
                            entry.incarnation != known.incarnation;
  if (written_anew) worker.entry_written_after = worker_list_as_of_;
}

void Dispatcher::Impl::NoteDeletedEntry(WorkerState& worker, const Now& now) {
  if (!worker.leaving) return;
  const std::optional<TimePoint> written_after =
      std::exchange(worker.entry_written_after, std::nullopt);
  const bool ended =
      written_after && now.steady - *written_after <
                           settings_.entry_interval * kIntervalsWithoutExpiry;
  LogWorkerDecision(
      ended ? DecisionKind::kWorkerLeft : DecisionKind::kWorkerUnlisted,
      worker.entry.name, now.steady - worker.last_answer);
  if (ended) HandleExit(worker, now);
}

void Dispatcher::Impl::HandleExit(WorkerState& worker, const Now& now) {
  worker.reports.EndProcess(OrderNumber{last_order_});
  worker.lease = {now.steady, LeaseBasis::kExit, worker.lease.renewed_at};
  worker.silent = true;
}

}  // namespace jasminespar::jobs
