/// @file
/// What the concerns of one cell share while an input is handled.

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

/// A run that workers reported and that no call here asked for yet. Its
/// caller may send the call again and then joins it.
struct OrphanRun {
  GangRun run;
  scheduling::Placement placement;  ///< What it occupies.
  TimePoint expires;
};

/// State without behaviour of its own; each member guards its own rules.
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
  /// Latest known attempts of calls that an earlier owner may have run
  /// without a promise.
  std::unordered_map<CallId, Attempt> earlier_attempts;
  /// Numbers of attempts that were given up before any worker heard of them,
  /// of calls that were given back; their records may be durable.
  std::unordered_map<CallId, Attempt> spent_attempts;
  StrayTasks strays;
  JournalWriter journal;
  TimerQueue timers;
  bool recovering = true;
  bool handing_over = false;
  bool store_available = true;
  bool decision_due = false;  ///< The scheduler may be able to decide more.

  // Of the input that is being handled.
  Now now;
  EffectList effects;

  void Reply(ReplyToken token, CallReply reply) {
    effects.emplace_back(SendReply{token, std::move(reply)});
  }
};

/// Checks the call and sets when it next needs attention without other input.
void Rearm(Context& context, const Call& call);

/// Notes that an earlier owner may have run the call.
void NoteEarlierAttempt(Context& context, const CallId& id, Attempt attempt);

/// @return the call as the scheduler sees it.
[[nodiscard]] scheduling::Job ToJob(const Call& call);

/// Gives the call's accelerators back to the scheduler and forgets its run.
void Vacate(Context& context, Call& call);

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CONTEXT_H_
