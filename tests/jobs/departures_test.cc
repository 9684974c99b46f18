// What becomes of runs on workers that say how much time they have left.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

DispatcherSettings SettingsWith(Switch departures) {
  DispatcherSettings settings;
  settings.departures = departures;
  return settings;
}

/// Workers w1, w2 and so on of which each runs one task of a job.
class DepartureFixture : public DispatcherFixture {
 public:
  explicit DepartureFixture(std::uint32_t workers,
                            Switch departures = Switch::kOn)
      : DispatcherFixture(1, SettingsWith(departures)) {
    for (std::uint32_t i = 1; i <= workers; ++i) AddWorker(NameOf(i));
    FinishLoading();
    Advance(200ms);
    answer_stops_with = OrderAccepted{{1000}};
  }

  static std::string NameOf(std::uint32_t i) { return "w" + std::to_string(i); }

  /// Starts a job whose tasks each occupy a whole worker.
  void Run(StepSpec step) {
    Feed(JobLoaded{Job(kJob.value, "urgent", {std::move(step)}), {}});
    Advance(100ms);
    AcceptStarts();
  }

  /// Advances time while every run progresses at the given rate.
  void Work(Duration duration, std::uint32_t percents_per_step) {
    constexpr Duration kStep = 100ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      Advance(kStep);
      for (auto& [name, report] : reports) {
        if (left_.contains(name)) left_[name] -= kStep;
        if (left_.contains(name)) report.time_left = left_[name];
        for (ListedRun& run : report.runs) {
          run.percent = std::min(99U, run.percent + percents_per_step);
        }
      }
    }
  }

  /// The worker's entry and its reports say from now on that it leaves.
  void Leave(const std::string& name, Duration left) {
    WorkerEntry entry = EntryOf(name);
    entry.leaving = true;
    entry.time_left = left;
    left_[name] = left;
    reports[name].leaving = true;
    reports[name].time_left = left;
    Feed(WorkerListed{entry});
  }

  void Stay(const std::string& name) {
    left_.erase(name);
    reports[name].leaving = false;
    reports[name].time_left.reset();
    Feed(WorkerListed{EntryOf(name)});
  }

  /// Ends all runs whose stop was ordered; each has saved its state.
  void EndStopped() {
    for (const SendOrder& order : stops) {
      const auto& stop = std::get<StopRun>(order.what);
      End(order.worker.value, stop.task, stop.run, RunEnding::kStopped);
      reports[order.worker.value].ends.back().checkpoint = "saved";
    }
    stops.clear();
  }

  [[nodiscard]] std::size_t StopsOn(const std::string& worker) const {
    return static_cast<std::size_t>(std::count_if(
        stops.begin(), stops.end(),
        [&](const SendOrder& order) { return order.worker.value == worker; }));
  }

 private:
  std::map<std::string, Duration> left_;
};

StepSpec WholeWorkers(std::uint32_t count, Duration estimate) {
  StepSpec step = DispatcherFixture::Step(count, 8);
  step.estimate = estimate;
  return step;
}

TEST_CASE("a run that ends before its worker leaves is left alone") {
  DepartureFixture fixture(1);
  StepSpec step = WholeWorkers(1, 60s);  // Far off: it takes ten seconds.
  step.checkpointing = GENERATE(false, true);
  fixture.Run(step);
  fixture.Work(8s, 1);
  fixture.Leave("w1", 4s);
  fixture.Work(2s, 1);
  CHECK(fixture.stops.empty());
}

TEST_CASE(
    "a run that saves its state is stopped in time and resumes elsewhere") {
  DepartureFixture fixture(2);
  StepSpec step = WholeWorkers(1, 60s);
  step.checkpointing = true;
  fixture.Run(step);
  const std::string worker = fixture.reports["w1"].runs.empty() ? "w2" : "w1";
  fixture.Work(2s, 1);
  fixture.Leave(worker, 3s);
  fixture.Work(1s, 1);
  CHECK(fixture.stops.empty());  // It goes on working as long as it can.
  fixture.Work(1s, 1);
  REQUIRE(fixture.stops.size() == 1);
  fixture.EndStopped();
  fixture.Work(500ms, 1);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().worker.value != worker);
  CHECK(std::get<StartRun>(fixture.starts.front().what).checkpoint == "saved");
}

TEST_CASE("a run that can neither end nor save its state is given up at once") {
  DepartureFixture fixture(2);
  fixture.Run(WholeWorkers(1, 60s));
  const std::string worker = fixture.reports["w1"].runs.empty() ? "w2" : "w1";
  fixture.Work(2s, 1);
  fixture.Leave(worker, 2s);
  fixture.Work(200ms, 1);
  CHECK(fixture.StopsOn(worker) == 1);
}

TEST_CASE("a run that may end is not given up") {
  DepartureFixture fixture(1);
  fixture.Run(WholeWorkers(1, 10s));
  fixture.Work(7s, 1);  // It has about three seconds left.
  fixture.Leave("w1", 2800ms);
  fixture.Work(2800ms, 1);
  CHECK(fixture.stops.empty());
  fixture.Work(2s, 0);  // The worker stays longer than it said.
  CHECK(fixture.stops.empty());
}

TEST_CASE("a gang with a member on a leaving worker moves as a whole") {
  DepartureFixture fixture(6);
  StepSpec gang = WholeWorkers(3, 60s);
  gang.gang = true;
  gang.checkpointing = true;
  fixture.Run(gang);
  std::string member;
  for (const auto& [name, report] : fixture.reports) {
    if (!report.runs.empty()) member = name;
  }
  fixture.Work(2s, 1);
  fixture.Leave(member, 2s);
  fixture.Work(1200ms, 1);
  REQUIRE(fixture.stops.size() == 3);
  fixture.EndStopped();
  fixture.Work(500ms, 1);
  CHECK(fixture.starts.size() == 3);
  for (const SendOrder& start : fixture.starts) {
    CHECK(start.worker.value != member);
    CHECK(std::get<StartRun>(start.what).checkpoint == "saved");
  }
}

TEST_CASE("a third leaves, and another third before the first is over") {
  DepartureFixture fixture(9);
  StepSpec step = WholeWorkers(6, 60s);
  step.checkpointing = true;
  fixture.Run(step);
  fixture.Work(1s, 1);
  std::vector<std::string> busy;
  for (const auto& [name, report] : fixture.reports) {
    if (!report.runs.empty()) busy.push_back(name);
  }
  REQUIRE(busy.size() == 6);
  for (int i = 0; i < 3; ++i) fixture.Leave(busy[i], 2s);
  fixture.Work(1s, 1);
  CHECK(fixture.stops.size() == 3);
  for (int i = 3; i < 6; ++i) fixture.Leave(busy[i], 2s);
  fixture.EndStopped();
  fixture.Work(300ms, 1);
  CHECK(fixture.starts.size() == 3);
  for (const SendOrder& start : fixture.starts) {
    CHECK(std::find(busy.begin(), busy.end(), start.worker.value) ==
          busy.end());
  }
  fixture.AcceptStarts();
  fixture.Work(1s, 1);
  CHECK(fixture.stops.size() == 3);  // Of the second third.
  fixture.EndStopped();
  fixture.Work(500ms, 1);
  CHECK(fixture.starts.empty());  // No worker is left for them.
}

TEST_CASE("an entry that is read once more puts no departure off") {
  DepartureFixture fixture(1);
  StepSpec step = WholeWorkers(1, 60s);
  step.checkpointing = true;
  fixture.Run(step);
  fixture.Work(1s, 1);
  WorkerEntry entry = DispatcherFixture::EntryOf("w1");
  entry.leaving = true;
  entry.time_left = 3s;
  fixture.Feed(WorkerListed{entry});
  fixture.Work(1500ms, 1);
  fixture.Feed(WorkerListed{entry});  // After the history was lost.
  CHECK(fixture.stops.empty());
  fixture.Work(400ms, 1);
  CHECK(fixture.stops.size() == 1);
}

TEST_CASE("a departure that is taken back stops nothing any more") {
  DepartureFixture fixture(1);
  StepSpec step = WholeWorkers(1, 60s);
  step.checkpointing = true;
  fixture.Run(step);
  fixture.Work(1s, 1);
  fixture.Leave("w1", 4s);
  fixture.Work(2s, 1);
  fixture.Stay("w1");
  fixture.Work(6s, 1);
  CHECK(fixture.stops.empty());
}

TEST_CASE("a new owner learns how much time is left") {
  DispatcherFixture owner(2);
  WorkerEntry entry = DispatcherFixture::EntryOf("w1");
  entry.leaving = true;
  entry.time_left = 10s;
  const bool by_clock = GENERATE(false, true);
  if (by_clock) {  // Of the worker, which says that the entry is nine s old.
    entry.clock.value = static_cast<std::uint64_t>(
        ToMilliseconds(owner.now.steady.time_since_epoch() - 9s));
  }
  owner.AddWorker(entry);
  StepSpec step = WholeWorkers(1, 60s);
  step.checkpointing = true;
  owner.Feed(JobLoaded{
      DispatcherFixture::Job(kJob.value, "urgent", {std::move(step)}), {}});
  owner.FinishLoading();
  WorkerReport& report = owner.reports["w1"];
  report.runs.push_back({{kJob, 0, 0, 0}, {5}, "", 10});
  report.leaving = true;
  if (!by_clock) report.time_left = 1s;
  owner.Advance(100ms);
  CHECK(owner.stops.size() == 1);
}

TEST_CASE("with the setting off only the worker's end ends its runs") {
  DepartureFixture fixture(2, Switch::kOff);
  StepSpec step = WholeWorkers(2, 60s);
  step.checkpointing = GENERATE(false, true);
  fixture.Run(step);
  fixture.Work(1s, 1);
  fixture.Leave("w1", 2s);
  fixture.Leave("w2", 2s);
  fixture.Work(2s, 1);
  CHECK(fixture.stops.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
