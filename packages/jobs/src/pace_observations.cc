#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// Between two updates of what is known of all workers.
constexpr Duration kRefitInterval = 400ms;

bool IsAway(const StepSpec& spec, const WorkerState& worker) {
  return !spec.preferred_rack.empty() &&
         spec.preferred_rack != worker.entry.rack;
}

}  // namespace

void Dispatcher::Impl::ObserveProgress(const WorkerState& worker,
                                       const ListedRun& listed,
                                       PlacedRun& placed, const Now& now) {
  if (settings_.worker_pace == Switch::kOff) return;
  if (listed.percent == placed.percent || placed.stray) return;
  if (placed.pace.fresh()) {
    const bool start_known = placed.start_attempts == 1 &&
                             placed.start_checkpoint.empty() &&
                             *placed.confirmed_at < now.steady;
    JobState* job = FindJob(listed.task.job);
    if (!start_known || job == nullptr) {
      placed.pace.BeginAtFirstChange();
    } else {
      // Members of a gang work once all of them have started.
      const StepState& step = StepOf(*job, listed.task);
      placed.pace.BeginAt(job->SpecOf(step).gang ? step.last_confirmed_at
                                                 : *placed.confirmed_at);
    }
  }
  const std::optional<ObservedTime> seen =
      placed.pace.OnChange(listed.percent, now.steady);
  if (seen) RecordPace(worker, listed.task, listed.run, *seen);
}

void Dispatcher::Impl::ObserveEnd(const WorkerState& worker,
                                  const EndedRun& end, const PlacedRun& placed,
                                  const Now& now) {
  if (settings_.worker_pace == Switch::kOff) return;
  if (end.ending != RunEnding::kDone || placed.stray) return;
  const JobState* job = FindJob(end.task.job);
  // Members of a gang end together.
  if (job == nullptr || job->job.spec.steps[end.task.step].gang) return;
  const std::optional<ObservedTime> seen = placed.pace.OnEnd(now.steady);
  if (seen) RecordPace(worker, end.task, end.run, *seen);
}

void Dispatcher::Impl::RecordPace(const WorkerState& worker,
                                  const TaskName& task, RunNumber run,
                                  const ObservedTime& seen) {
  JobState* job = FindJob(task.job);
  if (job == nullptr) return;
  const StepState& step = StepOf(*job, task);
  const StepSpec& spec = job->SpecOf(step);
  if (spec.long_running || IsAway(spec, worker)) return;
  PaceSample sample;
  sample.step = {task.job, task.step};
  sample.gang_run = spec.gang ? run : RunNumber{};
  sample.estimate = spec.estimate;
  sample.total = seen.total;
  sample.error = seen.error;
  if (spec.gang && spec.prefers_one_rack) {
    sample.slowed = std::any_of(
        step.tasks.begin(), step.tasks.end(), [&](const TaskState& member) {
          const auto at = workers_.find(member.worker);
          return at != workers_.end() &&
                 at->second.entry.rack != worker.entry.rack;
        });
  }
  static const std::string kNoKind;
  const std::vector<std::string>& labels = worker.entry.labels;
  paces_.Record(worker.entry.name, worker.incarnation,
                labels.empty() ? kNoKind : labels.front(), task.index, run,
                sample);
  paces_changed_ = true;
}

void Dispatcher::Impl::ForgetPace(WorkerState& worker) {
  paces_.Forget(worker.entry.name);
  worker.slowness = 1.0;
}

void Dispatcher::Impl::RefitPaces(const Now& now) {
  if (!paces_changed_ || now.steady < next_refit_) return;
  paces_changed_ = false;
  next_refit_ = now.steady + kRefitInterval;
  const bool differed = paces_.WorkersDiffer();
  paces_.Refit();
  for (auto& [name, worker] : workers_) {
    worker.slowness = paces_.SlownessOf(name).value;
  }
  if (paces_.WorkersDiffer() != differed) LogPaces();
}

bool Dispatcher::Impl::PaceActs() const {
  return settings_.worker_pace == Switch::kOn && paces_.WorkersDiffer();
}

PaceOrder Dispatcher::Impl::PaceOrderOf(const JobState& job,
                                        const StepState& step,
                                        const Now& now) const {
  if (!PaceActs()) return PaceOrder::kNone;
  return IsPressing(job, job.SpecOf(step), now) ? PaceOrder::kFastFirst
                                                : PaceOrder::kSlowFirst;
}

std::string Dispatcher::Impl::DescribeRunTime(const JobState& job,
                                              const StepState& step,
                                              const WorkerState& worker) const {
  if (settings_.worker_pace == Switch::kOff) return "";
  const Duration expected = paces_.RunTime(
      {job.job.id, step.step}, job.SpecOf(step).estimate, worker.entry.name);
  return "expected_ms=" + std::to_string(ToMilliseconds(expected));
}

}  // namespace jasminespar::jobs
