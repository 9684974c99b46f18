// Workers of two paces that report how far their runs are: gangs go to workers
// of like pace, and urgent ones to fast workers, once the reports tell; until
// then, or where the setting is off, every start is as before.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

constexpr int kWorkers = 24;
constexpr double kSlow = 2.0;
constexpr Duration kStep = 50ms;

enum class Paces { kAlike, kMixed };

DispatcherSettings SettingsWith(Switch pace) {
  DispatcherSettings settings;
  settings.worker_pace = pace;
  return settings;
}

/// Simulates the work of the runs that are started.
class PacedSite : public DispatcherFixture {
 public:
  PacedSite(Paces paces, Switch pace, std::uint64_t epoch = 1)
      : DispatcherFixture(epoch, SettingsWith(pace)), paces_(paces) {
    answer_stops_with = OrderAccepted{{1000}};
    for (int i = 0; i < kWorkers; ++i) AddWorker(NameOf(i), RackOf(i));
    FinishLoading();
    Advance(200ms);
  }

  static std::string NameOf(int i) {
    return std::string("w") + static_cast<char>('a' + i);
  }
  static std::string RackOf(int i) { return "r" + std::to_string(i / 8); }

  /// Each third worker is slow.
  static bool IsSlow(const std::string& worker) {
    return (worker[1] - 'a') % 3 == 0;
  }

  /// Accepts starts, works and ends runs for that long.
  void Work(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) {
      Advance(kStep);
      BeginRuns();
      EndStoppedRuns();
      Progress();
    }
  }

  /// Hands in a gang job.
  void AddGang(const std::string& id, const std::string& queue,
               std::uint32_t members, std::int64_t accelerators) {
    StepSpec gang = Step(members, accelerators);
    gang.gang = true;
    Submit(Job(id, queue, {gang}));
  }

  void AddTasks(const std::string& id, std::uint32_t tasks) {
    Submit(Job(id, "batch", {Step(tasks, 1)}));
  }

  /// Runs gangs over all workers until their paces have been seen.
  void Learn() {
    for (int i = 0; i < 3; ++i) {
      AddGang("learn" + std::to_string(i), "batch", kWorkers, 8);
      Work(9s);
    }
  }

  [[nodiscard]] std::multiset<std::string> WorkersOf(
      const std::string& job) const {
    std::multiset<std::string> workers;
    for (const auto& [task, worker] : last_worker_) {
      if (task.job.value == job) workers.insert(worker);
    }
    return workers;
  }

  [[nodiscard]] int CountSlow(const std::string& job) const {
    int slow = 0;
    for (const std::string& worker : WorkersOf(job)) slow += IsSlow(worker);
    return slow;
  }

  /// Each start: time, task, run and worker.
  std::vector<std::string> started;

 private:
  struct Active {
    std::string worker;
    RunNumber run;
    TimePoint from;
  };

  static constexpr Duration kWork = 2s;

  void Submit(AcceptedJob job) {
    job.accepted_at = now.wall;
    Feed(JobLoaded{std::move(job), {}});
  }

  void BeginRuns() {
    for (const SendOrder& order : starts) {
      const auto& start = std::get<StartRun>(order.what);
      const TaskName& task = start.task;
      active_[task] = {order.worker.value, start.run, now.steady};
      last_worker_[task] = order.worker.value;
      started.push_back(
          std::to_string(ToMilliseconds(now.steady.time_since_epoch())) + " " +
          task.job.value + " " + std::to_string(task.index) + " " +
          std::to_string(start.run.value) + " " + order.worker.value);
    }
    AcceptStarts();
  }

  void EndStoppedRuns() {
    for (const SendOrder& order : std::exchange(stops, {})) {
      const auto& stop = std::get<StopRun>(order.what);
      const auto found = active_.find(stop.task);
      if (found == active_.end() || found->second.run != stop.run) continue;
      EndOne(order.worker.value, stop.task, stop.run, RunEnding::kStopped);
      active_.erase(found);
    }
  }

  /// DispatcherFixture::End ends all members of a gang on the worker.
  void EndOne(const std::string& worker, const TaskName& task, RunNumber run,
              RunEnding ending) {
    WorkerReport& report = reports[worker];
    std::erase_if(report.runs, [&](const ListedRun& listed) {
      return listed.task == task && listed.run == run;
    });
    report.ends.push_back(
        {++last_end[worker], task, run, ending, std::string()});
  }

  /// @return the share of its work that the run has done.
  [[nodiscard]] double ShareOf(const Active& active) const {
    const bool slow = paces_ == Paces::kMixed && IsSlow(active.worker);
    return static_cast<double>((now.steady - active.from).count()) /
           (static_cast<double>(kWork.count()) * (slow ? kSlow : 1.0));
  }

  void Progress() {
    std::map<RunNumber, bool> complete;
    for (const auto& [task, active] : active_) {
      const double share = ShareOf(active);
      for (ListedRun& listed : reports[active.worker].runs) {
        if (listed.task != task) continue;
        listed.percent =
            static_cast<std::uint32_t>(std::min(100.0, 100.0 * share));
      }
      const auto [found, added] = complete.try_emplace(active.run, true);
      found->second = found->second && share >= 1;
    }
    for (auto at = active_.begin(); at != active_.end();) {
      if (!complete.at(at->second.run)) {
        ++at;
        continue;
      }
      EndOne(at->second.worker, at->first, at->second.run, RunEnding::kDone);
      at = active_.erase(at);
    }
  }

  Paces paces_;
  std::map<TaskName, Active> active_;
  std::map<TaskName, std::string> last_worker_;
};

/// The same jobs for each site, of all kinds and more than it has room for.
void PlayRecordedDay(PacedSite& site) {
  std::mt19937_64 random(11);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "job" + std::to_string(i);
    const auto count = static_cast<std::uint32_t>(1 + random() % 12);
    switch (random() % 4) {
      case 0:
        site.AddGang(id, "urgent", count, 8);
        break;
      case 1:
        site.AddGang(id, "urgent", count, 2);
        break;
      case 2:
        site.AddGang(id, "batch", count, 4);
        break;
      default:
        site.AddTasks(id, 4 * count);
    }
    site.Work(kStep * static_cast<int>(random() % 16));
  }
  site.Work(10s);
}

TEST_CASE(
    "workers of one pace get the same starts with the setting as without") {
  PacedSite with(Paces::kAlike, Switch::kOn);
  PacedSite without(Paces::kAlike, Switch::kOff);
  PlayRecordedDay(with);
  PlayRecordedDay(without);
  CHECK(with.started.size() > 300);
  CHECK(with.started == without.started);
}

TEST_CASE("a mixed site gets the same starts until its paces are known") {
  PacedSite with(Paces::kMixed, Switch::kOn);
  PacedSite without(Paces::kMixed, Switch::kOff);
  for (PacedSite* site : {&with, &without}) {
    site->AddGang("first", "urgent", 6, 8);
    site->AddTasks("tasks", 20);
    site->AddGang("second", "batch", 5, 2);
    site->Work(100ms);
  }
  CHECK(with.started.size() == 31);
  CHECK(with.started == without.started);
}

TEST_CASE("an urgent gang gets fast workers once their pace is known") {
  PacedSite site(Paces::kMixed, Switch::kOn);
  site.Learn();
  site.AddGang("urgent", "urgent", 14, 8);
  site.Work(200ms);
  CHECK(site.WorkersOf("urgent").size() == 14);
  CHECK(site.CountSlow("urgent") == 0);
}

TEST_CASE("without the setting it gets fast and slow ones") {
  PacedSite site(Paces::kMixed, Switch::kOff);
  site.Learn();
  site.AddGang("urgent", "urgent", 14, 8);
  site.Work(200ms);
  CHECK(site.CountSlow("urgent") > 0);
}

TEST_CASE("a gang does not wait for fast workers") {
  PacedSite site(Paces::kMixed, Switch::kOn);
  site.Learn();
  site.AddGang("large", "urgent", 20, 8);
  site.Work(200ms);
  CHECK(site.WorkersOf("large").size() == 20);
}

TEST_CASE("a gang that gets slow workers leaves the fast ones to others") {
  PacedSite site(Paces::kMixed, Switch::kOn);
  site.Learn();
  site.AddGang("first", "urgent", 12, 8);  // Of 16 fast workers.
  site.Work(200ms);
  site.AddGang("second", "urgent", 8, 8);  // 8 slow ones are left, and 4 fast.
  site.Work(200ms);
  CHECK(site.CountSlow("first") == 0);
  CHECK(site.CountSlow("second") == 8);
}

TEST_CASE("a gang of small tasks opens no empty worker that others may need") {
  PacedSite site(Paces::kMixed, Switch::kOn);
  site.Learn();
  site.AddTasks("tasks", 2);
  site.Work(200ms);
  const std::multiset<std::string> used = site.WorkersOf("tasks");
  REQUIRE(used.size() == 2);
  REQUIRE(site.CountSlow("tasks") == 2);
  site.AddGang("fast", "urgent", 15, 8);  // One fast worker is left.
  site.Work(200ms);
  site.AddGang("slow", "urgent", 7, 8);  // Only that of the tasks is left.
  site.Work(200ms);
  site.AddGang("small", "urgent", 2, 1);
  site.Work(200ms);
  CHECK(site.CountSlow("fast") == 0);
  CHECK(site.CountSlow("slow") == 7);
  CHECK(site.WorkersOf("small").size() == 2);
  for (const std::string& worker : site.WorkersOf("small")) {
    CHECK(used.contains(worker));
  }
}

TEST_CASE("a gang of small tasks takes fast workers while many are empty") {
  PacedSite site(Paces::kMixed, Switch::kOn);
  site.Learn();
  site.AddTasks("tasks", 2);
  site.Work(200ms);
  REQUIRE(site.CountSlow("tasks") == 2);
  site.AddGang("small", "urgent", 2, 1);
  site.Work(200ms);
  CHECK(site.WorkersOf("small").size() == 2);
  CHECK(site.CountSlow("small") == 0);
}

TEST_CASE("a new owner acts as before until it has learned") {
  PacedSite first(Paces::kMixed, Switch::kOn);
  first.Learn();
  PacedSite next(Paces::kMixed, Switch::kOn, 2);
  PacedSite off(Paces::kMixed, Switch::kOff, 2);
  for (PacedSite* site : {&next, &off}) {
    site->AddGang("urgent", "urgent", 14, 8);
    site->Work(200ms);
  }
  CHECK(next.started == off.started);
  next.Learn();
  next.AddGang("later", "urgent", 14, 8);
  next.Work(200ms);
  CHECK(next.CountSlow("later") == 0);
}

}  // namespace
}  // namespace jasminespar::jobs
