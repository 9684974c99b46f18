/// @file
/// Orphans: runs that workers have but that belong to no call of this cell.
/// They are kept for a grace period in which a caller that submits the call
/// again joins the run.
/// Unlike a stray task (stray_tasks.h), a single task that is being stopped, an
/// orphan is a complete gang that keeps running in that period.

#ifndef JASMINESPAR_CELL_ORPHANS_H_
#define JASMINESPAR_CELL_ORPHANS_H_

#include <cstdint>
#include <vector>

#include "context.h"

namespace jasminespar::cell {

/// Adds a complete gang that workers reported.
/// @param tasks one for each rank, in rank order.
/// @return false, with nothing changed, when the gang is incomplete, is not
///     running, or uses occupied accelerators or unlisted workers.
bool AddOrphan(Context& context, const std::vector<ReportedTask>& tasks);

/// Moves the run of an orphan, if there is one, to its call, which must be
/// waiting.
void AdoptOrphan(Context& context, Call& call);

/// Stops the orphan's run.
void StopOrphan(Context& context, const CallId& id);

/// Handles a due timer of an orphan, and the end of its grace period.
void HandleOrphanTimer(Context& context, const CallId& id);

UpdateResult HandleOrphanUpdate(Context& context, const TaskUpdate& update,
                                UpdateSource source);
void HandleUnlistedOrphanTask(Context& context, const CallId& id,
                              const WorkerReported& report);
void HandleOrphanWorkerLost(Context& context, const CallId& id,
                            WorkerId worker);

UpdateResult HandleOrphanOrderFailure(Context& context,
                                      const TaskOrderFailed& failure);

/// Whether a report is the first of its worker since the worker was listed or
/// lost. Only a first report can show runs of an earlier owner; an unknown run
/// in a later one was already abandoned by this owner.
enum class ReportOrder : std::uint8_t { kFirst, kLater };

/// Handles one task of a report received after recovery: it updates a run of
/// this cell, becomes an orphan, or is discarded.
void HandleReportedTask(Context& context, const ReportedTask& task,
                        ReportOrder order);

/// Stops a task that belongs to no run or, if it has ended, has its worker
/// delete its result.
void DiscardTask(Context& context, const ReportedTask& task);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_ORPHANS_H_
