// More demand than room for long: what callers get, with decisions that weigh
// their costs and without. Randomised; workers are simulated.
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>

#include "dispatcher_fixture.h"
#include "jasminespar/jobs/caller_cost.h"

namespace jasminespar::jobs {
namespace {

constexpr std::uint64_t kWorkers = 6;
constexpr Duration kTick = 100ms;

DispatcherSettings With(Switch caller_cost) {
  DispatcherSettings settings;
  settings.caller_cost = caller_cost;
  return settings;
}

/// Workers that run what they are told to in about its estimate, and jobs that
/// come faster than these can run them.
class Overload : public DispatcherFixture {
 public:
  Overload(Switch caller_cost, std::uint64_t seed)
      : DispatcherFixture(1, With(caller_cost)), random_(seed) {
    for (std::uint64_t i = 0; i < kWorkers; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    FinishLoading();
    Advance(200ms);
  }

  void Submit(const std::string& queue, const StepSpec& step) {
    const JobId id{queue.substr(0, 1) + std::to_string(++last_job_)};
    AcceptedJob job = Job(id.value, queue, {step});
    job.accepted_at = now.wall;
    submitted[id] = now.steady;
    tasks_[id] = step.count;
    estimates_[id] = step.estimate;
    gangs_[id] = step.gang;
    Feed(JobLoaded{std::move(job), {}});
  }

  /// Submits jobs of several sizes for a time, more than there is room for.
  void Play(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kTick) {
      if (Draw(10) < 3) SubmitBatch();
      if (urgent_in_progress_.empty() && Draw(10) < 2) SubmitUrgent();
      Tick();
    }
  }

  void Tick() {
    Advance(kTick);
    CarryOutStops();
    Accept();
    EndRuns();
  }

  std::map<JobId, TimePoint> submitted;
  std::map<JobId, TimePoint> completed;
  std::map<JobId, TimePoint> begun;  ///< When all tasks had started.

 private:
  [[nodiscard]] std::uint64_t Draw(std::uint64_t limit) {
    return random_() % limit;
  }

  void SubmitBatch() {
    StepSpec step = Step(1 + static_cast<std::uint32_t>(Draw(6)),
                         std::int64_t{1} << Draw(4));
    step.estimate = 1s + 500ms * static_cast<int>(Draw(6));
    step.gang = Draw(2) == 0;
    step.checkpointing = Draw(2) == 0;
    Submit("batch", step);
  }

  void SubmitUrgent() {
    StepSpec step = Step(1 + static_cast<std::uint32_t>(Draw(2)), 8);
    step.estimate = 1s;
    step.gang = true;
    Submit("urgent", step);
    urgent_in_progress_.insert({"u" + std::to_string(last_job_)});
  }

  void CarryOutStops() {
    for (const SendOrder& order : std::exchange(stops, {})) {
      const auto& stop = std::get<StopRun>(order.what);
      Answer(order, OrderAccepted{{1000}});
      if (ends_at_.erase(stop.task) == 0) continue;
      running_.erase(stop.task);
      EndAll(order.worker.value, stop.task, stop.run, RunEnding::kStopped);
    }
  }

  void Accept() {
    std::vector<SendOrder> waiting = starts;
    for (const SendOrder& order : waiting) {
      const auto& start = std::get<StartRun>(order.what);
      // Of a task, one run at a time and none after its end.
      CHECK(running_.insert(start.task).second);
      CHECK_FALSE(done_.contains(start.task));
      const Duration estimate = estimates_[start.task.job];
      ends_at_[start.task] =
          now.steady +
          estimate * (gangs_[start.task.job] ? 4 : 3 + Draw(3)) / 4;
      started_[start.task.job].insert(start.task.index);
      if (started_[start.task.job].size() == tasks_[start.task.job]) {
        begun.try_emplace(start.task.job, now.steady);
      }
    }
    AcceptStarts();
  }

  void EndRuns() {
    for (auto& [worker, report] : reports) {
      const std::vector<ListedRun> runs = report.runs;
      for (const ListedRun& run : runs) {
        const auto end = ends_at_.find(run.task);
        if (end == ends_at_.end() || now.steady < end->second) continue;
        ends_at_.erase(end);
        running_.erase(run.task);
        done_.insert(run.task);
        EndAll(worker, run.task, run.run, RunEnding::kDone);
        if (++ended_[run.task.job] == tasks_[run.task.job]) {
          completed[run.task.job] = now.steady;
          urgent_in_progress_.erase(run.task.job);
        }
      }
      for (ListedRun& run : report.runs) ++run.percent;
    }
  }

  /// Ends that task's run; the gang's others share its number.
  void EndAll(const std::string& worker, const TaskName& task, RunNumber run,
              RunEnding ending) {
    WorkerReport& report = reports[worker];
    std::erase_if(report.runs, [&](const ListedRun& listed) {
      return listed.run == run && listed.task == task;
    });
    report.ends.push_back({++last_end[worker], task, run, ending, ""});
  }

  std::mt19937_64 random_;
  std::uint64_t last_job_ = 0;
  std::map<JobId, std::uint32_t> tasks_;
  std::map<JobId, Duration> estimates_;
  std::map<JobId, bool> gangs_;
  std::map<JobId, std::set<std::uint32_t>> started_;
  std::map<JobId, std::uint32_t> ended_;
  std::set<JobId> urgent_in_progress_;
  std::set<TaskName> running_;
  std::set<TaskName> done_;
  std::map<TaskName, TimePoint> ends_at_;
};

TEST_CASE("under overload guarantees hold and no accepted job is lost") {
  const Switch caller_cost = GENERATE(Switch::kOn, Switch::kOff);
  const std::uint64_t seed = GENERATE(range(1, 9));
  CAPTURE(seed);
  Overload cell(caller_cost, seed);
  cell.Play(40s);
  // Traffic has ended; what was accepted completes.
  for (int i = 0; i < 6000 && cell.completed.size() < cell.submitted.size();
       ++i) {
    cell.Tick();
  }
  CHECK(cell.completed.size() == cell.submitted.size());
  for (const auto& [job, at] : cell.submitted) {
    if (job.value.front() != 'u') continue;
    CHECK(cell.begun.at(job) - at <= cell.settings.reclaim_within);
  }
}

/// @return how long a job without value waits for its start while newer work
///     of the same queue goes on taking all room.
Duration WaitOfLateJob(Switch caller_cost) {
  constexpr Duration kLimit = 120s;
  Overload cell(caller_cost, 1);
  const auto submit_others = [&] {
    // One worker's work for each worker, before the present one ends.
    for (std::uint64_t i = 0; i < kWorkers; ++i) {
      cell.Submit("batch", DispatcherFixture::Step(1, 8));
    }
    for (int i = 0; i < 10; ++i) cell.Tick();
  };
  for (int i = 0; i < 4; ++i) submit_others();
  StepSpec step = DispatcherFixture::Step(1, 8);
  step.estimate = 100ms;
  cell.Submit("batch", step);
  const JobId late{"b" + std::to_string(cell.submitted.size())};
  const TimePoint from = cell.now.steady;
  while (!cell.begun.contains(late) && cell.now.steady - from < kLimit) {
    submit_others();
  }
  return cell.now.steady - from;
}

TEST_CASE("a job whose value has passed starts although newer work comes") {
  CHECK(WaitOfLateJob(Switch::kOn) < 10s);
  // This is what the switch changes.
  CHECK(WaitOfLateJob(Switch::kOff) >= 120s);
}

}  // namespace
}  // namespace jasminespar::jobs
