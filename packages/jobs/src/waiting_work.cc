// Why guaranteed work still waits, for the log.
#include <string>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

constexpr Duration kExplanationInterval = 500ms;

/// Steps that are explained at a time.
constexpr int kMaxExplained = 4;

/// Workers that are named in one explanation.
constexpr int kMaxNamed = 12;

/// Appends "name:reason" to a list.
void Append(std::string& list, const std::string& name,
            std::string_view reason) {
  if (!list.empty()) list += ',';
  list += name;
  list += ':';
  list += reason;
}

}  // namespace

void Dispatcher::Impl::ExplainWaitingWork(Authority authority, const Now& now) {
  if (now.steady < next_explanation_) return;
  next_explanation_ = now.steady + kExplanationInterval;
  int explained = 0;
  for (const JobId& id : live_) {
    JobState& job = jobs_.at(id);
    const Duration age = job.AgeAt(now.steady);
    const bool due = job.queue.priority == 0 &&
                     age >= settings_.reclaim_within / 2 &&
                     age <= settings_.reclaim_within * 2;
    if (!due) continue;
    for (StepState& step : job.steps) {
      if (!step.waiting() || !DependenciesDone(job, step)) continue;
      if (++explained > kMaxExplained) return;
      LogJobDecision(DecisionKind::kGuaranteedWorkWaits, job,
                     WhyWaiting(job, step, authority, now), now);
    }
  }
}

std::string Dispatcher::Impl::WhyWaiting(JobState& job, const StepState& step,
                                         Authority authority, const Now& now) {
  if (!MayStartTasks(authority, now)) {
    return "starts_held,authority:" +
           std::string(RowOf(kAuthorityNames, authority).name) +
           ",list_age_ms:" +
           std::to_string(ToMilliseconds(now.steady - worker_list_as_of_));
  }
  if (job.may_have_unlisted_runs && !all_reconciled_) return "earlier_runs";
  if (now.steady < job.set_aside_until) return "set_aside";
  if (job.queue.service.value.empty()) return "no_configuration";
  if (job.SpecOf(step).gang && step.active > 0) return "members_active";
  const ReclaimPlan* plan = plans_.Find(ReclaimPlans::KeyOf(job, step));
  if (plan == nullptr && !IsWithinGuarantee(job, step)) return "no_guarantee";
  return (plan == nullptr ? "no_plan," : "plan,") +
         DescribeWorkers(job, step, plan, now);
}

std::string Dispatcher::Impl::DescribeWorkers(const JobState& job,
                                              const StepState& step,
                                              const ReclaimPlan* plan,
                                              const Now& now) const {
  const StepSpec& spec = job.SpecOf(step);
  std::string named;
  int count = 0;
  int without_room = 0;
  for (const auto& [name, worker] : workers_) {
    if (!IsSuited(worker, spec, job.queue.service)) continue;
    const bool planned =
        plan != nullptr && std::find(plan->workers.begin(), plan->workers.end(),
                                     name) != plan->workers.end();
    const std::optional<WorkerUnfit> unfit = UnfitReason(worker, now.steady);
    const bool room =
        Fits(NeedOf(spec), planned ? worker.unused() : worker.room());
    if (!room && !unfit) ++without_room;
    if (!unfit && !(planned && !room)) continue;
    if (++count > kMaxNamed) continue;
    Append(named, name.value,
           unfit ? RowOf(kWorkerUnfitNames, *unfit).name : "plan_without_room");
  }
  return "without_room:" + std::to_string(without_room) +
         ",named:" + std::to_string(count) + (named.empty() ? "" : ",") + named;
}

}  // namespace jasminespar::jobs
