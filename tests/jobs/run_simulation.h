/// @file
/// Workers with a pace of their own whose runs take time, for tests of
/// decisions that depend on progress.

#ifndef JASMINESPAR_TESTS_JOBS_RUN_SIMULATION_H_
#define JASMINESPAR_TESTS_JOBS_RUN_SIMULATION_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {

/// A dispatcher with workers that carry out what it orders. The members of a
/// gang end together, once each has done its work.
class RunSimulation {
 public:
  /// @param run_time of every task on a worker of pace 1.
  /// @param paces of the workers; 0: its runs stand.
  RunSimulation(Duration run_time, const std::vector<double>& paces)
      : run_time_(run_time) {
    fixture.tick = std::clamp(run_time / 2000, Duration(50ms), Duration(2s));
    for (std::size_t i = 0; i < paces.size(); ++i) {
      const std::string name = "w" + std::to_string(i);
      fixture.AddWorker(name);
      pace[name] = paces[i];
    }
    fixture.FinishLoading();
    fixture.Advance(200ms);
  }

  /// Advances time; starts and stops take effect within one tick.
  void Advance(Duration duration) {
    const TimePoint end = fixture.now.steady + duration;
    while (fixture.now.steady < end) AdvanceOneTick();
  }

  /// Advances until every started run has ended, at most that long.
  /// @return whether the job completed.
  bool Complete(Duration at_most) {
    const TimePoint end = fixture.now.steady + at_most;
    while (fixture.now.steady < end) {
      AdvanceOneTick();
      if (completed()) return true;
    }
    return false;
  }

  [[nodiscard]] bool completed() const {
    return !fixture.statuses.empty() &&
           fixture.statuses.back().phase == JobPhase::kCompleted;
  }

  DispatcherFixture fixture;
  std::map<std::string, double> pace;  ///< May change at any time.
  std::vector<TimePoint> stopped_at;
  std::vector<std::string> stopped_on;
  std::vector<Duration> stopped_after;  ///< Each stopped run's time.
  Duration thrown_away{};               ///< Time of stopped runs.

 private:
  struct Work {
    TimePoint started;
    double done = 0;  ///< From 0 to 1.
  };

  using RunKey = std::pair<std::string, TaskName>;

  void AdvanceOneTick() {
    fixture.Advance(fixture.tick);
    StopOrdered();
    fixture.AcceptStarts();
    for (auto& [name, report] : fixture.reports) {
      for (ListedRun& run : report.runs) WorkOn(name, run);
    }
    EndFinished();
  }

  void WorkOn(const std::string& worker, ListedRun& run) {
    const auto [found, added] = work_.try_emplace({worker, run.task});
    if (added) found->second.started = fixture.now.steady;
    Work& work = found->second;
    work.done =
        std::min(1.0, work.done + pace[worker] * ToSeconds(fixture.tick) /
                                      ToSeconds(run_time_));
    run.percent = static_cast<std::uint32_t>(100 * work.done + 1e-9);
  }

  void StopOrdered() {
    for (const SendOrder& order : std::exchange(fixture.stops, {})) {
      const auto& stop = std::get<StopRun>(order.what);
      fixture.Answer(order, OrderAccepted{{1000}});
      const auto found = work_.find({order.worker.value, stop.task});
      if (found == work_.end()) continue;
      const Duration lasted = fixture.now.steady - found->second.started;
      stopped_at.push_back(fixture.now.steady);
      stopped_on.push_back(order.worker.value);
      stopped_after.push_back(lasted);
      thrown_away += lasted;
      work_.erase(found);
      fixture.End(order.worker.value, stop.task, stop.run, RunEnding::kStopped);
    }
  }

  /// Ends each run whose fellows of the same number have done their work too.
  void EndFinished() {
    std::map<RunNumber, bool> finished;
    for (const auto& [name, report] : fixture.reports) {
      for (const ListedRun& run : report.runs) {
        const bool done = work_.at({name, run.task}).done >= 1.0 - 1e-9;
        const auto [found, added] = finished.try_emplace(run.run, done);
        found->second = found->second && done;
      }
    }
    for (auto& [name, report] : fixture.reports) {
      for (const ListedRun& run : std::vector<ListedRun>(report.runs)) {
        if (!finished.at(run.run)) continue;
        work_.erase({name, run.task});
        fixture.End(name, run.task, run.run, RunEnding::kDone);
      }
    }
  }

  static double ToSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  Duration run_time_;
  std::map<RunKey, Work> work_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_JOBS_RUN_SIMULATION_H_
