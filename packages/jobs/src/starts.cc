#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Bits of a run number that count the runs of one epoch.
constexpr int kRunsPerEpochBits = 20;

/// Guaranteed work waits this long for free room before it preempts others.
constexpr Duration kReclaimDelay = 250ms;

/// Share of the candidate workers kept idle for urgent work while other work
/// can wait.
constexpr double kReservedShare = 0.12;

/// A step waits at most this long for its rack, however long its tasks run.
constexpr Duration kMaxRackWait = 4s;

/// The same while less than half of the service's capacity is in use and other
/// racks have room for the step twice over.
constexpr Duration kMaxRackWaitWithRoom = 2s;

/// A job whose decision failed is left out of the decisions for this long.
constexpr Duration kFailedJobPause = 1s;

/// An occurrence starts this long after it is due on the local clock, because
/// the clocks of instances differ slightly.
constexpr std::uint64_t kDueMarginMs = 20;

}  // namespace

void Dispatcher::Impl::StartWaitingTasks(const Now& now) {
  if (configuration_ == nullptr) return;
  RefitPaces(now);
  all_reconciled_ = all_reconciled_ || AllWorkersReconciled();
  usable_ = UsableWorkers(workers_, now.steady);
  unplaced_.Clear();
  bool all_started = true;
  for (const WaitingStep& waiting : CollectWaitingSteps(now)) {
    const bool decided = Attempt(DispatcherStage::kStarts, waiting.job->job.id,
                                 [&] { TryStartStep(waiting, now); });
    if (!decided) waiting.job->set_aside_until = now.steady + kFailedJobPause;
    all_started = all_started && !waiting.step->waiting();
  }
  room_short_ = !all_started;
}

std::vector<WaitingStep> Dispatcher::Impl::CollectWaitingSteps(const Now& now) {
  std::vector<WaitingStep> waiting;
  for (const JobId& id : live_) {
    JobState& job = jobs_.at(id);
    const Duration age = job.AgeAt(now.steady);
    const bool timed = job.job.spec.occurrences > 0;
    const Duration objective = ObjectiveOf(job);
    const bool no_value = !timed && age > kNoValueFactor * objective;
    for (StepState& step : job.steps) {
      if (!step.waiting() || !MayStart(job, step, now)) continue;
      const bool late = !timed && age + job.SpecOf(step).estimate > objective;
      waiting.push_back({&job, &step, no_value, late, job.queue.priority, age});
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const WaitingStep& a, const WaitingStep& b) {
                     return std::tuple(a.no_value, a.priority, a.late, -a.age) <
                            std::tuple(b.no_value, b.priority, b.late, -b.age);
                   });
  const bool weighs = settings_.caller_cost == Switch::kOn && room_short_;
  if (weighs) MoveOverdueFirst(waiting);
  return waiting;
}

bool Dispatcher::Impl::MayStart(JobState& job, const StepState& step,
                                const Now& now) {
  if (job.may_have_unlisted_runs && !all_reconciled_) return false;
  if (now.steady < job.set_aside_until) return false;
  if (job.queue.service.value.empty()) return false;
  const WallTime due = DueOf(job, step);
  if (due.value != 0 && now.wall.value < due.value + kDueMarginMs) {
    return false;
  }
  return DependenciesDone(job, step);
}

bool Dispatcher::Impl::MayUseOtherRacks(const JobState& job,
                                        const StepState& step,
                                        std::uint32_t tasks,
                                        const Now& now) const {
  const StepSpec& spec = job.SpecOf(step);
  if (spec.preferred_rack.empty() && !spec.prefers_one_rack) return true;
  // Tasks that each rack could run if it were empty.
  std::map<std::string, std::uint32_t> racks;
  Resources capacity;
  Resources used;
  std::uint32_t fitting_now = 0;
  for (const auto& [name, worker] : workers_) {
    if (!worker.listed || worker.leaving) continue;
    if (worker.emptied || worker.silent) continue;
    if (!IsSuited(worker, spec, job.queue.service)) continue;
    capacity += worker.entry.capacity;
    used += worker.used;
    fitting_now += CountFitting(NeedOf(spec), worker.room(), 2 * tasks);
    racks[worker.entry.rack] +=
        CountFitting(NeedOf(spec), worker.entry.capacity, tasks);
  }
  const bool can_ever_fit =
      std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
        const bool allowed =
            spec.preferred_rack.empty() || rack.first == spec.preferred_rack;
        return allowed && rack.second >= (spec.gang ? tasks : 1);
      });
  if (!can_ever_fit) return true;
  TimePoint since = now.steady;
  for (const TaskState& task : step.tasks) {
    if (task.phase == TaskPhase::kWaiting) {
      since = std::min(since, task.waiting_since);
    }
  }
  const bool much_room =
      Fits(used + used, capacity) && fitting_now >= 2 * tasks;
  const Duration longest = much_room ? kMaxRackWaitWithRoom : kMaxRackWait;
  return now.steady - since > std::min(longest, spec.estimate);
}

void Dispatcher::Impl::TryStartStep(const WaitingStep& waiting,
                                    const Now& now) {
  JobState& job = *waiting.job;
  StepState& step = *waiting.step;
  const bool gang = job.SpecOf(step).gang;
  if (gang && step.active > 0) return;  // Its previous run has not ended.
  const TaskName key = ReclaimPlans::KeyOf(job, step);
  if (plans_.Find(key) != nullptr && StartPlanned(job, step, now)) return;
  if (plans_.Find(key) != nullptr) return;
  if (gang ? StartGang(job, step, now) : StartTasks(job, step, now)) return;
  if (job.queue.priority != 0 || now.steady < step.next_reclaim) return;
  if (job.AgeAt(now.steady) < kReclaimDelay) return;
  if (!IsWithinGuarantee(job, step)) return;
  Reclaim(job, step, now);
}

bool Dispatcher::Impl::IsPressing(const JobState& job, const StepSpec& spec,
                                  const Now& now) {
  return job.queue.priority == 0 || spec.long_running ||
         job.AgeAt(now.steady) > spec.estimate;
}

TaskShape Dispatcher::Impl::ShapeOf(const JobState& job, const StepSpec& spec,
                                    const PlacementRequest& request,
                                    const Now& now) {
  TaskShape shape;
  shape.service = job.queue.service;
  shape.label = spec.required_label;
  if (!request.other_racks_allowed) {
    shape.rack = spec.preferred_rack;
    shape.one_rack = spec.prefers_one_rack;
  }
  shape.spares_idle_workers = !IsPressing(job, spec, now);
  shape.need = NeedOf(spec);
  shape.tasks = request.tasks;
  return shape;
}

std::vector<Candidate> Dispatcher::Impl::SelectCandidates(const JobState& job,
                                                          const StepState& step,
                                                          const Now& now) {
  std::vector<Candidate> candidates =
      CandidatesFor(usable_, job, step, now.steady);
  const StepSpec& spec = job.SpecOf(step);
  if (IsPressing(job, spec, now)) return candidates;
  const auto empty = [](const Candidate& candidate) {
    return candidate.worker->placed_runs.empty();
  };
  if (PaceActs()) PutSlowFirst(candidates);  // The last ones are kept.
  const auto kept = static_cast<std::ptrdiff_t>(
      std::floor(kReservedShare * static_cast<double>(candidates.size())));
  std::ptrdiff_t spare =
      std::count_if(candidates.begin(), candidates.end(), empty) - kept;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return empty(candidate) && spare-- <= 0;
  });
  return candidates;
}

bool Dispatcher::Impl::StartGang(JobState& job, StepState& step,
                                 const Now& now) {
  const auto tasks = static_cast<std::uint32_t>(step.tasks.size());
  PlacementRequest request{&job.SpecOf(step), tasks,
                           MayUseOtherRacks(job, step, tasks, now),
                           step.tasks.front().failed_on, PaceOrder::kNone};
  TaskShape shape = ShapeOf(job, job.SpecOf(step), request, now);
  if (unplaced_.Covers(shape)) return false;
  const std::vector<WorkerState*> chosen =
      PlaceGangWarmFirst(SelectCandidates(job, step, now), request,
                         PaceActs() ? PlaceGangByPace : PlaceGang);
  if (chosen.empty()) {
    // The limit of tasks on one worker is this step's own.
    const bool limited = job.SpecOf(step).max_tasks_per_worker > 0;
    if (!limited) unplaced_.Add(std::move(shape));
    return false;
  }
  const RunNumber run = NextRun();
  for (std::uint32_t i = 0; i < tasks; ++i) {
    StartTask(job, step, i, *chosen[i], run, now);
  }
  return true;
}

bool Dispatcher::Impl::StartTasks(JobState& job, StepState& step,
                                  const Now& now) {
  PlacementRequest request{&job.SpecOf(step),
                           1,
                           MayUseOtherRacks(job, step, 1, now),
                           {},
                           PaceOrderOf(job, step, now)};
  TaskShape shape = ShapeOf(job, job.SpecOf(step), request, now);
  if (unplaced_.Covers(shape)) return false;
  std::vector<Candidate> candidates = SelectCandidates(job, step, now);
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase != TaskPhase::kWaiting) continue;
    request.avoid = step.tasks[i].failed_on;
    WorkerState* worker = PlaceTask(candidates, request);
    if (worker == nullptr) {
      // The limit of tasks on one worker is this step's own.
      const bool limited = job.SpecOf(step).max_tasks_per_worker > 0;
      if (!limited) unplaced_.Add(std::move(shape));
      return false;
    }
    StartTask(job, step, i, *worker, NextRun(), now);
  }
  return true;
}

void Dispatcher::Impl::StartTask(JobState& job, StepState& step,
                                 std::uint32_t index, WorkerState& worker,
                                 RunNumber run, const Now& now) {
  TaskState& task = step.tasks[index];
  const TaskName name{job.job.id, step.occurrence, step.step, index};
  Activate(step, task, worker, run);
  PlacedRun placed;
  placed.run = run;
  placed.need = NeedOf(job.SpecOf(step));
  placed.lasting = job.SpecOf(step).long_running;
  placed.incarnation = worker.incarnation;
  placed.priority = job.queue.priority;
  placed.account = job.job.account;
  placed.progressed_at = now.steady;
  placed.start_checkpoint = task.checkpoint;
  AddPlacedRun(worker, name, std::move(placed));
  LogRunDecision(DecisionKind::kStart, DecisionCause::kRoomFound, name,
                 worker.entry.name, run, DescribeRunTime(job, step, worker),
                 now.steady - worker.last_answer);
  SendStart(worker, name, worker.placed_runs.at(name), now);
}

void Dispatcher::Impl::StopIncompleteGangs(const Now& now) {
  if (!AllWorkersReconciled()) return;
  for (const JobId& id : live_) {
    JobState& job = jobs_.at(id);
    for (StepState& step : job.steps) {
      if (!job.SpecOf(step).gang || step.active == 0) continue;
      if (step.active == step.tasks.size()) continue;
      for (const TaskState& task : step.tasks) {
        if (task.phase != TaskPhase::kActive) continue;
        StopGang(job, step, task.run, DecisionCause::kGangIncomplete, now);
      }
    }
  }
}

RunNumber Dispatcher::Impl::NextRun() {
  return RunNumber{FirstOwnRun().value + ++last_run_};
}

RunNumber Dispatcher::Impl::FirstOwnRun() const {
  return RunNumber{epoch_.durable << kRunsPerEpochBits};
}

}  // namespace jasminespar::jobs
