#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// An accelerator counts as this many cores in the cost of lost work.
constexpr double kCoresPerAccelerator = 8.0;
constexpr double kMillicoresPerCore = 1000.0;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Until its bound is near, guaranteed work may discard at most this many times
/// its own amount of work.
constexpr double kMaxLossRatio = 2.0;

/// Part of the bound kept for the orders' transit and for the poll that reports
/// the freed room.
constexpr Duration kReclaimMargin = 1000ms;

/// Between two attempts to find room at an acceptable loss.
constexpr Duration kReclaimRetryInterval = 200ms;

double CoresOf(const Resources& need) noexcept {
  return static_cast<double>(need.accelerators) * kCoresPerAccelerator +
         static_cast<double>(need.cpu_millicores) / kMillicoresPerCore;
}

}  // namespace

/// A run that may be preempted, and the work that its preemption discards.
struct Dispatcher::Impl::Victim {
  TaskName task;
  Resources need;
  double loss = 0;  ///< Core-seconds, of the whole gang.
};

/// Tasks that one worker can host, the runs to stop for them, and the loss.
struct Dispatcher::Impl::Offer {
  WorkerState* worker = nullptr;
  std::vector<TaskName> victims;
  std::uint32_t tasks = 0;
  double loss = 0;
};

bool Dispatcher::Impl::IsWithinGuarantee(const JobState& job,
                                         const StepState& step) const {
  std::int64_t guaranteed = 0;
  for (const AccountConfiguration& account :
       configuration_->content().accounts) {
    if (account.name == job.job.account) {
      guaranteed = account.guaranteed_accelerators;
    }
  }
  const auto use = urgent_use_.find(job.job.account);
  const std::int64_t used = use == urgent_use_.end() ? 0 : use->second;
  const auto waiting =
      static_cast<std::int64_t>(step.tasks.size() - step.done - step.active);
  return used + waiting * job.SpecOf(step).need.accelerators <= guaranteed;
}

std::vector<Dispatcher::Impl::Victim> Dispatcher::Impl::FindVictims(
    const WorkerState& worker, const Now& now) const {
  std::vector<Victim> victims;
  for (const auto& [name, placed] : worker.placed_runs) {
    if (placed.priority == 0 || placed.phase != PlacedRunPhase::kRunning)
      continue;
    const auto found = jobs_.find(name.job);
    if (found == jobs_.end()) continue;
    const StepSpec& spec = found->second.job.spec.steps[name.step];
    if (spec.long_running) continue;
    // The stop writes a checkpoint, so only the time to resume is lost.
    const Duration worked = now.steady - *placed.confirmed_at;
    const Duration since =
        spec.checkpointing ? std::min(settings_.resume_delay, worked) : worked;
    const double seconds =
        static_cast<double>(since.count()) / kMicrosecondsPerSecond;
    const double members = spec.gang ? spec.count : 1;
    victims.push_back(
        {name, placed.need, seconds * CoresOf(spec.need) * members});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
  return victims;
}

Dispatcher::Impl::Offer Dispatcher::Impl::MakeOffer(const Candidate& candidate,
                                                    const Resources& need,
                                                    std::uint32_t tasks,
                                                    const Now& now) const {
  Offer offer;
  offer.worker = candidate.worker;
  Resources room = candidate.room;
  const std::uint32_t limit = std::min(tasks, candidate.limit);
  offer.tasks = CountFitting(need, room, limit);
  for (const Victim& victim : FindVictims(*candidate.worker, now)) {
    if (offer.tasks >= limit) break;
    room += victim.need;
    offer.victims.push_back(victim.task);
    offer.loss += victim.loss;
    offer.tasks = CountFitting(need, room, limit);
  }
  return offer;
}

std::vector<Dispatcher::Impl::Offer> Dispatcher::Impl::CheapestOffers(
    std::vector<Offer> offers, std::uint32_t tasks) const {
  std::erase_if(offers, [](const Offer& offer) { return offer.tasks == 0; });
  std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
    return a.loss * b.tasks < b.loss * a.tasks;
  });
  std::vector<Offer> chosen;
  std::uint32_t placed = 0;
  for (Offer& offer : offers) {
    if (placed >= tasks) break;
    placed += offer.tasks;
    chosen.push_back(std::move(offer));
  }
  if (placed < tasks) chosen.clear();
  return chosen;
}

bool Dispatcher::Impl::IsLossAcceptable(const JobState& job,
                                        const StepState& step,
                                        const std::vector<Offer>& offers,
                                        const Now& now) const {
  const Duration latest =
      settings_.reclaim_within - settings_.stop_limit - kReclaimMargin;
  if (job.AgeAt(now.steady) >= latest) return true;
  double loss = 0;
  for (const Offer& offer : offers) loss += offer.loss;
  const StepSpec& spec = job.SpecOf(step);
  const double seconds =
      static_cast<double>(spec.estimate.count()) / kMicrosecondsPerSecond;
  const double work = seconds * CoresOf(spec.need) * spec.count;
  return loss <= kMaxLossRatio * work;
}

void Dispatcher::Impl::Reclaim(JobState& job, StepState& step, const Now& now) {
  const StepSpec& spec = job.SpecOf(step);
  const Resources need = NeedOf(spec);
  const auto tasks =
      static_cast<std::uint32_t>(step.tasks.size() - step.done - step.active);
  std::map<std::string, std::vector<Offer>> racks;
  std::vector<Offer> all;
  for (const Candidate& candidate :
       CandidatesFor(usable_, job, step, now.steady)) {
    Offer offer = MakeOffer(candidate, need, tasks, now);
    racks[candidate.worker->entry.rack].push_back(offer);
    all.push_back(std::move(offer));
  }
  std::vector<Offer> chosen;
  double best_loss = std::numeric_limits<double>::max();
  for (auto& [rack, offers] : racks) {
    std::vector<Offer> cheapest = CheapestOffers(std::move(offers), tasks);
    double loss = 0;
    for (const Offer& offer : cheapest) loss += offer.loss;
    if (cheapest.empty() || loss >= best_loss) continue;
    best_loss = loss;
    chosen = std::move(cheapest);
  }
  if (chosen.empty()) chosen = CheapestOffers(std::move(all), tasks);
  if (chosen.empty()) return;
  if (!IsLossAcceptable(job, step, chosen, now)) {
    const bool first = step.next_reclaim == TimePoint{};
    if (first) LogJobDecision(DecisionKind::kReclaimPostponed, job, "", now);
    step.next_reclaim = now.steady + kReclaimRetryInterval;
    return;
  }
  ReclaimPlan plan{{}, need, now.steady};
  for (const Offer& offer : chosen) {
    for (std::uint32_t i = 0; i < offer.tasks && plan.workers.size() < tasks;
         ++i) {
      plan.workers.push_back(offer.worker->entry.name);
    }
    for (const TaskName& victim : offer.victims) {
      const auto held = offer.worker->placed_runs.find(victim);
      if (held == offer.worker->placed_runs.end()) continue;
      JobState& stopped = jobs_.at(victim.job);
      BeginStop(*offer.worker, victim, held->second, DecisionCause::kPreempted,
                now);
      StepState& other = StepOf(stopped, victim);
      if (stopped.SpecOf(other).gang) {
        StopGang(stopped, other, held->second.run, DecisionCause::kPreempted,
                 now);
      }
    }
  }
  plans_.Add(ReclaimPlans::KeyOf(job, step), std::move(plan), workers_);
}

bool Dispatcher::Impl::StartPlanned(JobState& job, StepState& step,
                                    const Now& now) {
  const TaskName key = ReclaimPlans::KeyOf(job, step);
  const ReclaimPlan plan = *plans_.Find(key);
  if (step.tasks.size() - step.done - step.active != plan.workers.size()) {
    plans_.Cancel(key, workers_);
    return false;
  }
  std::vector<WorkerState*> chosen;
  std::map<WorkerState*, std::uint32_t> wanted;
  for (const WorkerName& name : plan.workers) {
    WorkerState* worker = FindWorker(name);
    if (worker == nullptr) return false;  // The next decision cancels the plan.
    chosen.push_back(worker);
    ++wanted[worker];
  }
  for (const auto& [worker, count] : wanted) {
    if (CountFitting(plan.need, worker->unused(), count) < count) return false;
  }
  plans_.Cancel(key, workers_);
  const bool gang = job.SpecOf(step).gang;
  const RunNumber shared = gang ? NextRun() : RunNumber{};
  auto next = chosen.begin();
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase != TaskPhase::kWaiting) continue;
    StartTask(job, step, i, **next++, gang ? shared : NextRun(), now);
  }
  return true;
}

}  // namespace jasminespar::jobs
