/// @file
/// State of one cell that its functions share while they handle an input.

#ifndef JASMINESPAR_CELL_CONTEXT_H_
#define JASMINESPAR_CELL_CONTEXT_H_

#include <unordered_map>
#include <utility>

#include "call_table.h"
#include "effect_list.h"
#include "gang_run.h"
#include "jasminespar/cell/cell.h"
#include "journal_writer.h"
#include "stray_tasks.h"
#include "timer_queue.h"
#include "worker_table.h"

namespace jasminespar::cell {

/// A run that workers reported but that belongs to no call of this cell yet. A
/// caller that submits the call again joins the run.
struct OrphanRun {
  GangRun run;
  scheduling::Placement placement;  ///< Occupied accelerators.
  TimePoint expires;
};

/// Shared state; each member enforces its own invariants.
struct Context {
  Context(const CellSettings& cell_settings, Epoch cell_epoch,
          configuration::CellTopology topology)
      : settings(cell_settings),
        epoch(cell_epoch),
        cell(topology.id),
        scheduler(cell_settings.policy, topology),
        workers(std::move(topology), cell_settings.worker_lease) {}

  CellSettings settings;
  Epoch epoch;
  CellId cell;
  scheduling::Scheduler scheduler;
  WorkerTable workers;
  CallTable calls;
  std::unordered_map<CallId, OrphanRun> orphans;
  /// Latest known attempts of calls that may have run without a record, under
  /// an earlier owner or as an orphan.
  std::unordered_map<CallId, Attempt> earlier_attempts;
  /// Attempt numbers that refused calls had used before any order was sent.
  /// Their records may be durable, so the numbers are not used again.
  std::unordered_map<CallId, Attempt> abandoned_attempts;
  StrayTasks strays;
  JournalWriter journal;
  TimerQueue timers;
  bool recovering = true;
  bool handing_over = false;
  bool store_available = true;
  bool decision_due = false;  ///< The scheduler may have new decisions.

  // State of the input that is being handled.
  Now now;
  EffectList effects;

  void Reply(ReplyToken token, CallReply reply) {
    effects.emplace_back(SendReply{token, std::move(reply)});
  }
};

/// Checks the call's invariants and sets its timer to its next due time.
void UpdateTimer(Context& context, const Call& call);

/// Records that the call may have run up to `attempt`. Does nothing for a new
/// id once `max_live_calls` ids are recorded.
void RecordEarlierAttempt(Context& context, const CallId& id, Attempt attempt);

/// @return the scheduler's job for the call.
[[nodiscard]] scheduling::Job ToJob(const Call& call);

/// Returns the call's accelerators to the scheduler and deletes its run.
void FreeAccelerators(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CONTEXT_H_
