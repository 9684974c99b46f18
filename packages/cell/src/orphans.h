/// @file
/// Runs that workers have but no call here asked for: kept for a grace time
/// in which a caller that sends its call again joins the run.

#ifndef JASMINESPAR_CELL_ORPHANS_H_
#define JASMINESPAR_CELL_ORPHANS_H_

#include <cstdint>
#include <vector>

#include "context.h"

namespace jasminespar::cell {

/// Keeps a whole gang that workers reported.
/// @param tasks one for each rank, in rank order.
/// @return false, with nothing changed, when the gang is not whole, not
///     running, or overlaps with accelerators that others occupy.
bool KeepOrphan(Context& context, const std::vector<ReportedTask>& tasks);

/// Gives the run of an orphan to its call, which must be waiting.
void AdoptOrphan(Context& context, Call& call);

/// Stops the run; nobody joins it any more.
void StopOrphan(Context& context, const CallId& id);

/// Performs what is due of an orphan, or ends its grace.
void WakeOrphan(Context& context, const CallId& id);

WordEffect TakeOrphanWord(Context& context, const TaskUpdate& word,
                          WordSource source);
void MissOrphanPart(Context& context, const CallId& id,
                    const WorkerReported& report);
void LoseOrphanWorker(Context& context, const CallId& id, WorkerId worker);

WordEffect TakeOrphanFailure(Context& context, const TaskOrderFailed& failure);

/// Whether a report is the first of its worker since that had lapsed or was
/// listed. Only that one can show runs of an earlier owner; what a later one
/// shows has been given up here.
enum class ReportOrder : std::uint8_t { kFirst, kLater };

/// Takes one task of a report made after recovery: it belongs to a run here,
/// becomes an orphan, or is stopped.
void TakeReportedTask(Context& context, const ReportedTask& task,
                      ReportOrder order);

/// Stops a task that belongs to no run, or has it forgotten if it has ended.
void Discard(Context& context, const ReportedTask& task);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_ORPHANS_H_
