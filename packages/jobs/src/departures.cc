#include "departures.h"

#include <algorithm>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// For the transit of the stop, and of the poll that reports the saved state.
constexpr Duration kStopMargin = 400ms;

/// A run certainly cannot end in time if it needs this many times the time that
/// is left, and this much more: a worker may stay somewhat longer than it says,
/// and a run may be faster than expected.
constexpr int kCertainFactor = 2;
constexpr Duration kCertainMargin = 500ms;

/// A departure that is later than known by more than this was put off.
constexpr Duration kPutOffMargin = 1s;

constexpr std::uint32_t kAllPercent = 100;

/// A rate is known once the reports show at least this much progress.
constexpr std::uint32_t kPercentsForRate = 5;

}  // namespace

void RunProgressTrack::Record(std::uint32_t percent, TimePoint now) {
  if (!first_at) {
    first_at = now;
    first_percent = percent;
  }
  if (percent == last_percent && last_at != TimePoint{}) return;
  last_at = now;
  last_percent = percent;
}

Duration RunProgressTrack::ExpectedLeft(Duration estimate, TimePoint started_at,
                                        TimePoint now) const {
  if (first_at && last_percent >= first_percent + kPercentsForRate) {
    const Duration per_percent =
        (last_at - *first_at) / (last_percent - first_percent);
    const std::uint32_t missing =
        kAllPercent - std::min(kAllPercent, last_percent);
    return std::max(Duration{}, per_percent * missing - (now - last_at));
  }
  // A run that resumed has less to do than the estimate says.
  const std::uint32_t before = first_at ? first_percent : 0;
  const Duration left = estimate * (kAllPercent - before) / kAllPercent;
  return std::max(Duration{}, left - (now - started_at));
}

DepartureChoice ChooseFor(const DepartingRun& run) {
  if (run.run_left <= run.worker_left) return DepartureChoice::kLeaveAlone;
  if (run.saves_state) {
    return run.worker_left <= run.stop_limit + kStopMargin
               ? DepartureChoice::kStop
               : DepartureChoice::kLeaveAlone;
  }
  // It stays longer than it said, and nobody knows how long.
  if (run.worker_left <= Duration{}) return DepartureChoice::kLeaveAlone;
  return run.run_left > kCertainFactor * run.worker_left + kCertainMargin
             ? DepartureChoice::kStop
             : DepartureChoice::kLeaveAlone;
}

TimePoint DepartureTime(std::optional<TimePoint> known, Duration left,
                        TimePoint now) {
  const TimePoint reported = now + left;
  if (!known || reported > *known + kPutOffMargin) return reported;
  return std::min(*known, reported);
}

void Dispatcher::Impl::NoteTimeLeft(WorkerState& worker,
                                    std::optional<Duration> left,
                                    const Now& now) {
  if (settings_.departures == Switch::kOff || !left) return;
  const bool first = !worker.departs_at;
  worker.departs_at = DepartureTime(worker.departs_at, *left, now.steady);
  if (!first) return;
  worker.poll_soon = true;  // How far its runs are.
  Decision decision;
  decision.kind = DecisionKind::kWorkerLeaving;
  decision.worker = worker.entry.name;
  decision.detail = "notice";
  decision.age = *left;
  effects_.emplace_back(std::move(decision));
}

void Dispatcher::Impl::StopDepartingRuns(const Now& now) {
  if (settings_.departures == Switch::kOff) return;
  for (auto& [name, worker] : workers_) {
    if (!worker.departs_at || worker.silent) continue;
    for (auto& [task, placed] : worker.placed_runs) {
      if (!MustDepart(worker, task, placed, now)) continue;
      JobState& job = jobs_.at(task.job);
      BeginStop(worker, task, placed, DecisionCause::kWorkerLeaving, now);
      StepState& step = StepOf(job, task);
      if (!job.SpecOf(step).gang) continue;
      StopGang(job, step, placed.run, DecisionCause::kWorkerLeaving, now);
    }
  }
}

bool Dispatcher::Impl::MustDepart(const WorkerState& worker,
                                  const TaskName& name, const PlacedRun& placed,
                                  const Now& now) {
  if (placed.phase != PlacedRunPhase::kRunning || !placed.confirmed_at) {
    return false;
  }
  JobState* job = FindJob(name.job);
  if (job == nullptr || !job->live()) return false;
  const StepSpec& spec = job->SpecOf(StepOf(*job, name));
  if (spec.long_running) return false;
  DepartingRun run;
  run.worker_left = *worker.departs_at - now.steady;
  run.run_left = placed.track.ExpectedLeft(spec.estimate, *placed.confirmed_at,
                                           now.steady);
  run.stop_limit = settings_.stop_limit;
  run.saves_state = spec.checkpointing;
  return ChooseFor(run) == DepartureChoice::kStop;
}

}  // namespace jasminespar::jobs
