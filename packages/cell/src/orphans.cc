#include "orphans.h"

#include <algorithm>
#include <utility>

#include "endings.h"
#include "gang_control.h"
#include "invariant.h"

namespace jasminespar::cell {
namespace {

GangPart ToPart(const ReportedTask& task) {
  GangPart part;
  part.allocation = {task.task.worker, task.accelerators};
  part.epoch = task.epoch;
  part.known = task.state;
  part.released = HasStarted(task.state);
  return part;
}

bool IsWhole(const std::vector<ReportedTask>& tasks) {
  if (tasks.empty() || tasks.size() != tasks.front().gang_workers) return false;
  for (std::size_t rank = 0; rank < tasks.size(); ++rank) {
    const ReportedTask& task = tasks[rank];
    const bool runs = task.state == TaskState::kRunning ||
                      task.state == TaskState::kSucceeded;
    if (task.rank != rank || !runs) return false;
    if (task.epoch != tasks.front().epoch) return false;
    if (task.task.attempt != tasks.front().task.attempt) return false;
  }
  return true;
}

scheduling::Job JobOf(const CallId& id, const GangRun& run, TimePoint now) {
  scheduling::Job job;
  job.id = id;
  job.arrival = now;
  job.deadline = TimePoint::max();
  job.gang.accelerators = 0;
  for (const GangPart& part : run.parts()) {
    job.gang.accelerators += __builtin_popcountll(part.allocation.accelerators);
  }
  return job;
}

void RearmOrphan(Context& context, const CallId& id, const OrphanRun& orphan) {
  const bool stopping = orphan.run.phase() == GangPhase::kStopping;
  std::optional<TimePoint> next = orphan.run.next_wake();
  if (!stopping) next = Earlier(next, orphan.expires);
  context.timers.Set(id, next);
}

void VacateOrphan(Context& context, const CallId& id, OrphanRun& orphan) {
  if (orphan.placement.parts.empty()) return;
  context.workers.Vacate(id, orphan.placement);
  context.scheduler.Release(id, context.now.steady);
  orphan.placement = {};
  context.decision_due = true;
}

void DropOrphan(Context& context, const CallId& id, OrphanRun& orphan) {
  VacateOrphan(context, id, orphan);
  for (const GangPart& part : orphan.run.parts()) {
    if (part.lost) continue;
    context.effects.emplace_back(ForgetTask{orphan.run.RefOf(part)});
  }
  NoteEarlierAttempt(context, id, orphan.run.attempt());
  context.timers.Set(id, std::nullopt);
  context.orphans.erase(id);
}

/// @return whether the attempt is known to have ended, so that a report which
/// lists it is older than that.
bool HasEndedHere(const Context& context, const ReportedTask& task) {
  const auto earlier = context.earlier_attempts.find(task.task.call);
  return earlier != context.earlier_attempts.end() &&
         task.task.attempt <= earlier->second;
}

/// A success is kept for its caller; any other end is dropped at once.
void SettleOrphan(Context& context, const CallId& id, OrphanRun& orphan) {
  if (!orphan.run.ended()) {
    RearmOrphan(context, id, orphan);
  } else if (orphan.run.result().answer &&
             orphan.run.phase() != GangPhase::kStopping) {
    VacateOrphan(context, id, orphan);
    RearmOrphan(context, id, orphan);
  } else {
    DropOrphan(context, id, orphan);
  }
}

}  // namespace

bool KeepOrphan(Context& context, const std::vector<ReportedTask>& tasks) {
  if (!IsWhole(tasks)) return false;
  const CallId id = tasks.front().task.call;
  std::vector<GangPart> parts;
  scheduling::Placement placement;
  for (const ReportedTask& task : tasks) {
    GangPart part = ToPart(task);
    const bool usable = context.workers.IsListed(task.task.worker) &&
                        context.workers.IsFree(part.allocation);
    if (!HasEnded(part) && !usable) return false;
    if (!HasEnded(part)) placement.parts.push_back(part.allocation);
    parts.push_back(part);
  }
  GangRun run(id, tasks.front().task.attempt, GangPhase::kReleased,
              std::move(parts));
  run.Advance(context.now.steady, context.effects);
  OrphanRun orphan{std::move(run), placement,
                   context.now.steady + context.settings.orphan_grace};
  if (!placement.parts.empty()) {
    context.workers.Occupy(id, placement);
    context.scheduler.Adopt(JobOf(id, orphan.run, context.now.steady),
                            placement, context.now.steady);
  }
  const auto [entry, inserted] = context.orphans.emplace(id, std::move(orphan));
  Require(inserted, "a call has one run");
  RearmOrphan(context, id, entry->second);
  return true;
}

void AdoptOrphan(Context& context, Call& call) {
  const CallId id = call.request.id;
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  Require(call.phase == CallPhase::kWaiting && !call.enqueued,
          "only a waiting call joins a run");
  OrphanRun orphan = std::move(found->second);
  context.orphans.erase(found);
  call.attempt = orphan.run.attempt();
  call.run = std::move(orphan.run);
  call.placement = std::move(orphan.placement);
  call.phase = CallPhase::kActive;
  call.enqueue_at.reset();
  const bool reclaimed = call.run->phase() == GangPhase::kStopping;
  if (!call.placement.parts.empty() && !reclaimed) {
    // The scheduler now learns whose run it is. Of a run that is stopping it
    // may have promised the accelerators to another call already.
    context.scheduler.Release(id, context.now.steady);
    context.scheduler.Adopt(ToJob(call), call.placement, context.now.steady);
  }
  Settle(context, call);
}

void StopOrphan(Context& context, const CallId& id) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  found->second.run.Stop(StopMode::kStop, Reason::kReclaimed,
                         context.now.steady, context.effects);
  SettleOrphan(context, id, found->second);
}

void WakeOrphan(Context& context, const CallId& id) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  OrphanRun& orphan = found->second;
  orphan.run.Wake(context.now.steady, context.effects);
  if (context.now.steady < orphan.expires) {
    SettleOrphan(context, id, orphan);
  } else if (orphan.run.ended()) {
    DropOrphan(context, id, orphan);
  } else {
    StopOrphan(context, id);
  }
}

WordEffect TakeOrphanWord(Context& context, const TaskUpdate& word,
                          WordSource source) {
  const auto found = context.orphans.find(word.task.call);
  if (found == context.orphans.end()) return WordEffect::kStale;
  const WordEffect effect = found->second.run.Take(
      word, source, context.epoch, context.now.steady, context.effects);
  SettleOrphan(context, word.task.call, found->second);
  return effect;
}

void MissOrphanPart(Context& context, const CallId& id,
                    const WorkerReported& report) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  if (Lists(report, found->second.run)) return;
  found->second.run.MissPart(report.worker, context.now.steady,
                             context.effects);
  SettleOrphan(context, id, found->second);
}

void LoseOrphanWorker(Context& context, const CallId& id, WorkerId worker) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  found->second.run.LoseWorker(worker, context.now.steady, context.effects);
  SettleOrphan(context, id, found->second);
}

WordEffect TakeOrphanFailure(Context& context, const TaskOrderFailed& failure) {
  const auto found = context.orphans.find(failure.task.call);
  if (found == context.orphans.end()) return WordEffect::kStale;
  const WordEffect effect = found->second.run.TakeFailure(
      failure, context.now.steady, context.effects);
  SettleOrphan(context, failure.task.call, found->second);
  return effect;
}

void TakeReportedTask(Context& context, const ReportedTask& task,
                      ReportOrder order) {
  const TaskUpdate word{task.task, task.epoch, task.state, std::nullopt};
  if (context.strays.Contains(task.task)) {
    TakeWord(context, word);
    return;
  }
  Call* call = context.calls.Find(task.task.call);
  const auto orphan = context.orphans.find(task.task.call);
  const GangRun* run = nullptr;
  if (call != nullptr && call->run) run = &*call->run;
  if (orphan != context.orphans.end()) run = &orphan->second.run;
  if (run != nullptr && run->Contains(task.task)) {
    // A report repeats what is known; only its news are taken.
    if (call != nullptr) {
      call->run->Take(word, WordSource::kReport, context.epoch,
                      context.now.steady, context.effects);
      Settle(context, *call);
    } else {
      TakeOrphanWord(context, word, WordSource::kReport);
    }
    return;
  }
  const bool kept =
      call != nullptr &&
      std::count(call->results.begin(), call->results.end(), task.task) != 0;
  if (kept) return;
  const bool may_be_orphan = order == ReportOrder::kFirst && call == nullptr &&
                             run == nullptr && !HasEndedHere(context, task);
  if (may_be_orphan && KeepOrphan(context, {task})) return;
  if (call == nullptr) {
    NoteEarlierAttempt(context, task.task.call, task.task.attempt);
  }
  Discard(context, task);
}

void Discard(Context& context, const ReportedTask& task) {
  if (task.state == TaskState::kNeverStarted) return;
  if (HasEnded(task.state)) {
    context.effects.emplace_back(ForgetTask{task.task});
    return;
  }
  context.strays.Add(task.task, context.now.steady, context.effects);
  context.workers.SetStrays(task.task.worker, true);
}

}  // namespace jasminespar::cell
