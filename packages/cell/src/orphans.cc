#include "orphans.h"

#include <algorithm>
#include <utility>

#include "gang_control.h"
#include "invariant.h"
#include "outcomes.h"

namespace jasminespar::cell {
namespace {

GangMember ToMember(const ReportedTask& task) {
  GangMember member;
  member.allocation = {task.task.worker, task.accelerators};
  member.epoch = task.epoch;
  member.last_state = task.state;
  member.released = HasStarted(task.state);
  return member;
}

bool IsCompleteGang(const std::vector<ReportedTask>& tasks) {
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
  for (const GangMember& member : run.members()) {
    job.gang.accelerators +=
        __builtin_popcountll(member.allocation.accelerators);
  }
  return job;
}

void UpdateOrphanTimer(Context& context, const CallId& id,
                       const OrphanRun& orphan) {
  const bool stopping = orphan.run.phase() == GangPhase::kStopping;
  std::optional<TimePoint> next = orphan.run.next_timer();
  if (!stopping) next = Earlier(next, orphan.expires);
  context.timers.Set(id, next);
}

void FreeOrphanAccelerators(Context& context, const CallId& id,
                            OrphanRun& orphan) {
  if (orphan.placement.parts.empty()) return;
  context.workers.Free(id, orphan.placement);
  context.scheduler.Release(id, context.now.steady);
  orphan.placement = {};
  context.decision_due = true;
}

void DropOrphan(Context& context, const CallId& id, OrphanRun& orphan) {
  FreeOrphanAccelerators(context, id, orphan);
  for (const GangMember& member : orphan.run.members()) {
    if (member.lost) continue;
    context.effects.emplace_back(ForgetTask{orphan.run.RefOf(member)});
  }
  RecordEarlierAttempt(context, id, orphan.run.attempt());
  context.timers.Set(id, std::nullopt);
  context.orphans.erase(id);
}

/// @return whether the attempt is known to have ended, so that a report which
///     lists it is outdated.
bool IsKnownToHaveEnded(const Context& context, const ReportedTask& task) {
  const auto earlier = context.earlier_attempts.find(task.task.call);
  return earlier != context.earlier_attempts.end() &&
         task.task.attempt <= earlier->second;
}

/// Keeps an ended orphan with an answer for its caller; drops any other ended
/// orphan at once.
void UpdateOrphan(Context& context, const CallId& id, OrphanRun& orphan) {
  if (!orphan.run.ended()) {
    UpdateOrphanTimer(context, id, orphan);
  } else if (orphan.run.result().answer &&
             orphan.run.phase() != GangPhase::kStopping) {
    FreeOrphanAccelerators(context, id, orphan);
    UpdateOrphanTimer(context, id, orphan);
  } else {
    DropOrphan(context, id, orphan);
  }
}

}  // namespace

bool AddOrphan(Context& context, const std::vector<ReportedTask>& tasks) {
  if (!IsCompleteGang(tasks)) return false;
  const CallId id = tasks.front().task.call;
  std::vector<GangMember> members;
  scheduling::Placement placement;
  for (const ReportedTask& task : tasks) {
    GangMember member = ToMember(task);
    const bool usable = context.workers.IsListed(task.task.worker) &&
                        context.workers.IsFree(member.allocation);
    if (!HasEnded(member) && !usable) return false;
    if (!HasEnded(member)) placement.parts.push_back(member.allocation);
    members.push_back(member);
  }
  GangRun run(id, tasks.front().task.attempt, GangPhase::kReleased,
              std::move(members));
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
  UpdateOrphanTimer(context, id, entry->second);
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
    // Adopt the run again under its call's account. Not while it is stopping:
    // the scheduler may have reserved its accelerators for another call.
    context.scheduler.Release(id, context.now.steady);
    context.scheduler.Adopt(ToJob(call), call.placement, context.now.steady);
  }
  FinishRunIfEnded(context, call);
}

void StopOrphan(Context& context, const CallId& id) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  found->second.run.Stop(StopMode::kStop, Reason::kReclaimed,
                         context.now.steady, context.effects);
  UpdateOrphan(context, id, found->second);
}

void HandleOrphanTimer(Context& context, const CallId& id) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  OrphanRun& orphan = found->second;
  orphan.run.HandleTimer(context.now.steady, context.effects);
  if (context.now.steady < orphan.expires) {
    UpdateOrphan(context, id, orphan);
  } else if (orphan.run.ended()) {
    DropOrphan(context, id, orphan);
  } else {
    StopOrphan(context, id);
  }
}

UpdateResult HandleOrphanUpdate(Context& context, const TaskUpdate& update,
                                UpdateSource source) {
  const auto found = context.orphans.find(update.task.call);
  if (found == context.orphans.end()) return UpdateResult::kStale;
  const UpdateResult result = found->second.run.ApplyUpdate(
      update, source, context.epoch, context.now.steady, context.effects);
  UpdateOrphan(context, update.task.call, found->second);
  return result;
}

void HandleUnlistedOrphanTask(Context& context, const CallId& id,
                              const WorkerReported& report) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  if (ListsTaskOf(report, found->second.run)) return;
  found->second.run.HandleUnlistedTask(report.worker, context.now.steady,
                                       context.effects);
  UpdateOrphan(context, id, found->second);
}

void HandleOrphanWorkerLost(Context& context, const CallId& id,
                            WorkerId worker) {
  const auto found = context.orphans.find(id);
  if (found == context.orphans.end()) return;
  found->second.run.HandleWorkerLost(worker, context.now.steady,
                                     context.effects);
  UpdateOrphan(context, id, found->second);
}

UpdateResult HandleOrphanOrderFailure(Context& context,
                                      const TaskOrderFailed& failure) {
  const auto found = context.orphans.find(failure.task.call);
  if (found == context.orphans.end()) return UpdateResult::kStale;
  const UpdateResult result = found->second.run.HandleOrderFailure(
      failure, context.now.steady, context.effects);
  UpdateOrphan(context, failure.task.call, found->second);
  return result;
}

void HandleReportedTask(Context& context, const ReportedTask& task,
                        ReportOrder order) {
  const TaskUpdate update{task.task, task.epoch, task.state, std::nullopt};
  if (context.strays.Contains(task.task)) {
    HandleTaskUpdate(context, update);
    return;
  }
  Call* call = context.calls.Find(task.task.call);
  const auto orphan = context.orphans.find(task.task.call);
  const GangRun* run = nullptr;
  if (call != nullptr && call->run) run = &*call->run;
  if (orphan != context.orphans.end()) run = &orphan->second.run;
  if (run != nullptr && run->Contains(task.task)) {
    // A report repeats known states; only changes are applied.
    if (call != nullptr) {
      call->run->ApplyUpdate(update, UpdateSource::kReport, context.epoch,
                             context.now.steady, context.effects);
      FinishRunIfEnded(context, *call);
    } else {
      HandleOrphanUpdate(context, update, UpdateSource::kReport);
    }
    return;
  }
  const bool kept =
      call != nullptr && std::count(call->kept_results.begin(),
                                    call->kept_results.end(), task.task) != 0;
  if (kept) return;
  const bool may_be_orphan = order == ReportOrder::kFirst && call == nullptr &&
                             run == nullptr &&
                             !IsKnownToHaveEnded(context, task);
  if (may_be_orphan && AddOrphan(context, {task})) return;
  if (call == nullptr) {
    RecordEarlierAttempt(context, task.task.call, task.task.attempt);
  }
  DiscardTask(context, task);
}

void DiscardTask(Context& context, const ReportedTask& task) {
  if (task.state == TaskState::kNeverStarted) return;
  if (HasEnded(task.state)) {
    context.effects.emplace_back(ForgetTask{task.task});
    return;
  }
  context.strays.Add(task.task, context.now.steady, context.effects);
  context.workers.SetStrays(task.task.worker, true);
}

}  // namespace jasminespar::cell
