// Nothing starts in a data centre that the operator empties, nor anywhere while
// it is not known which are emptied.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

constexpr Duration kWithin = 5s;
const JobId kJob{"00000000000000aa"};
const JobId kUrgent{"00000000000000bb"};

DispatcherSettings SettingsWith(Duration evacuate_within) {
  DispatcherSettings settings;
  settings.evacuate_within = evacuate_within;
  return settings;
}

/// One worker in each of the data centres a, b and c. The list of evacuations
/// is read all along, until the test sets `readings`.
class EvacuationFixture : public DispatcherFixture {
 public:
  explicit EvacuationFixture(std::uint64_t epoch = 1,
                             Duration evacuate_within = kWithin)
      : DispatcherFixture(epoch, SettingsWith(evacuate_within)) {
    for (const std::string name : {"a", "b", "c"}) AddWorkerIn(name, name);
    FinishLoading();
  }

  void AddWorkerIn(const std::string& data_centre, const std::string& name) {
    WorkerEntry entry = EntryOf(name);
    entry.data_centre.value = data_centre;
    AddWorker(entry);
  }

  void Read(std::set<DataCentreId> emptied) {
    emptied_ = std::move(emptied);
    Feed(EvacuationsRead{emptied_, now.steady});
  }

  /// Advances time; the operator's rows are read every 500 ms.
  void AdvanceReading(Duration duration) {
    constexpr Duration kStep = 500ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      Read(emptied_);
      Advance(std::min(kStep, duration - passed));
    }
  }

  void Submit(const JobId& id, const std::string& queue, StepSpec step) {
    AcceptedJob job = Job(id.value, queue, {std::move(step)});
    job.accepted_at = now.wall;
    Feed(JobLoaded{std::move(job), {}});
  }

  [[nodiscard]] std::size_t StartsOn(const std::string& worker) const {
    return static_cast<std::size_t>(std::count_if(
        starts.begin(), starts.end(),
        [&](const SendOrder& order) { return order.worker.value == worker; }));
  }

  [[nodiscard]] std::size_t Decided(DecisionKind kind) const {
    return static_cast<std::size_t>(std::count_if(
        decisions.begin(), decisions.end(),
        [&](const Decision& decision) { return decision.kind == kind; }));
  }

 private:
  std::set<DataCentreId> emptied_;
};

/// A batch step whose tasks each occupy a whole worker, and that leaves no
/// worker idle for urgent work.
StepSpec WholeWorkers(std::uint32_t count) {
  StepSpec step = DispatcherFixture::Step(count, 8);
  step.estimate = 0s;
  return step;
}

TEST_CASE("nothing starts in a data centre that the operator empties") {
  EvacuationFixture fixture;
  fixture.Read({{"a"}});
  fixture.AdvanceReading(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.AdvanceReading(3s);
  CHECK(fixture.StartsOn("a") == 0);
  CHECK(fixture.StartsOn("b") == 1);
  CHECK(fixture.StartsOn("c") == 1);
  CHECK(fixture.Decided(DecisionKind::kDataCentreEmptied) == 1);
  SECTION("until it is taken back") {
    fixture.Read({});
    fixture.AdvanceReading(500ms);
    CHECK(fixture.StartsOn("a") == 1);
    CHECK(fixture.Decided(DecisionKind::kDataCentreInUse) == 1);
  }
  SECTION("nor on a worker that is listed later") {
    fixture.AddWorkerIn("a", "a2");
    fixture.AddWorkerIn("b", "b2");
    fixture.AdvanceReading(3s);
    CHECK(fixture.StartsOn("a2") == 0);
    CHECK(fixture.StartsOn("b2") == 1);
  }
}

TEST_CASE("two data centres are emptied at once, and taken back one by one") {
  EvacuationFixture fixture;
  fixture.Read({{"a"}, {"b"}});
  fixture.AdvanceReading(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.AdvanceReading(1s);
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.StartsOn("c") == 1);
  fixture.Read({{"b"}});
  fixture.AdvanceReading(1s);
  CHECK(fixture.StartsOn("a") == 1);
  CHECK(fixture.StartsOn("b") == 0);
  fixture.Read({});
  fixture.AdvanceReading(1s);
  CHECK(fixture.StartsOn("b") == 1);
}

TEST_CASE("a data centre is emptied and taken back twice within a second") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.AdvanceReading(200ms);
  for (int i = 0; i < 2; ++i) {
    fixture.Read({{"a"}});
    fixture.Advance(200ms);
    fixture.Read({});
    fixture.Advance(200ms);
  }
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.AdvanceReading(1s);
  CHECK(fixture.starts.size() == 3);
  CHECK(fixture.Decided(DecisionKind::kDataCentreEmptied) == 2);
  CHECK(fixture.Decided(DecisionKind::kDataCentreInUse) == 2);
}

TEST_CASE("a reading that arrives after a newer one is ignored") {
  EvacuationFixture fixture;
  const TimePoint earlier = fixture.now.steady;
  fixture.Advance(100ms);
  fixture.Read({{"a"}, {"b"}, {"c"}});
  fixture.Feed(EvacuationsRead{{}, earlier});
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.AdvanceReading(1s);
  CHECK(fixture.starts.empty());
}

TEST_CASE("nothing starts anywhere before a new owner has read the rows") {
  for (std::uint64_t epoch = 1; epoch < 4; ++epoch) {
    EvacuationFixture owner(epoch);
    owner.Submit(kJob, "batch", WholeWorkers(3));
    owner.Advance(2s);
    CHECK(owner.starts.empty());
    owner.Read({{"b"}});
    owner.AdvanceReading(1s);
    CHECK(owner.StartsOn("b") == 0);
    CHECK(owner.starts.size() == 2);
  }
}

TEST_CASE("nothing starts anywhere once the last reading is too old") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.Advance(MaxEvacuationsAge(kWithin));
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.Advance(2s);
  CHECK(fixture.starts.empty());
  fixture.Read({});
  fixture.Advance(100ms);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a start is not sent when the reading it was decided on is too old") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.Advance(MaxEvacuationsAge(kWithin) - 200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.Advance(50ms);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().send_by <= fixture.now.steady + 150ms);
}

TEST_CASE("a start under way is stopped and made elsewhere") {
  EvacuationFixture fixture;
  fixture.Read({{"b"}, {"c"}});
  fixture.Advance(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.Advance(100ms);
  REQUIRE(fixture.StartsOn("a") == 1);
  fixture.starts.clear();
  fixture.answer_stops_with = OrderAccepted{{1000}};
  fixture.Read({{"a"}});
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops.front().worker.value == "a");
  fixture.AdvanceReading(1s);
  CHECK(fixture.StartsOn("a") == 0);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("an unanswered start is not repeated in an emptied data centre") {
  EvacuationFixture fixture;
  fixture.Read({{"b"}, {"c"}});
  fixture.Advance(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.Advance(50ms);
  REQUIRE(fixture.StartsOn("a") == 1);
  const SendOrder start = fixture.starts.front();
  fixture.starts.clear();
  fixture.Read({{"a"}, {"b"}, {"c"}});
  fixture.Answer(start, OrderUnanswered{});
  fixture.AdvanceReading(3s);
  CHECK(fixture.starts.empty());
}

TEST_CASE("what runs in an emptied data centre goes on") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.Advance(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 3);
  fixture.AcceptStarts();
  fixture.Read({{"a"}, {"b"}, {"c"}});
  fixture.AdvanceReading(4s);
  CHECK(fixture.stops.empty());
}

TEST_CASE(
    "a gang with a start under way in an emptied data centre is stopped") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.Advance(200ms);
  StepSpec gang = WholeWorkers(3);
  gang.gang = true;
  fixture.Submit(kJob, "batch", gang);
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 3);
  std::erase_if(fixture.starts, [](const SendOrder& order) {
    return order.worker.value == "a";
  });
  fixture.AcceptStarts();  // Of the other two.
  fixture.Read({{"a"}});
  CHECK(fixture.stops_sent == 3);
  fixture.AdvanceReading(2s);
  CHECK(fixture.starts.empty());  // It has no room without that worker.
}

TEST_CASE(
    "a plan is dropped when a worker of it is in an emptied data centre") {
  EvacuationFixture fixture;
  fixture.Read({{"b"}, {"c"}});
  fixture.Advance(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(1));
  fixture.Advance(100ms);
  REQUIRE(fixture.StartsOn("a") == 1);
  fixture.AcceptStarts();
  fixture.Submit(kUrgent, "urgent", DispatcherFixture::Step(1, 8));
  fixture.Advance(500ms);
  REQUIRE(fixture.stops.size() == 1);  // The plan needs the room on a.
  fixture.Read({{"a"}, {"b"}});
  const auto& stop = std::get<StopRun>(fixture.stops.front().what);
  fixture.End("a", stop.task, stop.run, RunEnding::kStopped);
  fixture.Answer(fixture.stops.front(), OrderAccepted{{1000}});
  fixture.AdvanceReading(3s);
  CHECK(fixture.StartsOn("a") == 0);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(std::get<StartRun>(fixture.starts.front().what).task.job == kUrgent);
  CHECK(fixture.starts.front().worker.value == "c");
}

TEST_CASE("nothing is preempted in an emptied data centre") {
  EvacuationFixture fixture;
  fixture.Read({});
  fixture.Advance(200ms);
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 3);
  fixture.AcceptStarts();
  fixture.Read({{"a"}, {"b"}});
  fixture.Submit(kUrgent, "urgent", DispatcherFixture::Step(1, 8));
  fixture.AdvanceReading(1s);
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops.front().worker.value == "c");
}

TEST_CASE("workers that are cold are used last") {
  EvacuationFixture fixture;
  WorkerEntry cold = DispatcherFixture::EntryOf("a");
  cold.data_centre.value = "a";
  cold.cold_for = 4s;
  fixture.Feed(WorkerListed{cold});
  fixture.Read({});
  fixture.Advance(200ms);
  StepSpec step = WholeWorkers(2);
  step.gang = GENERATE(false, true);
  fixture.Submit(kJob, "urgent", step);
  fixture.Advance(100ms);
  CHECK(fixture.starts.size() == 2);
  CHECK(fixture.StartsOn("a") == 0);
  fixture.Submit(kUrgent, "urgent", WholeWorkers(1));
  fixture.Advance(100ms);
  CHECK(fixture.StartsOn("a") == 1);
}

TEST_CASE("where the operator empties no data centres nothing has to be read") {
  EvacuationFixture fixture(1, Duration{});
  fixture.Submit(kJob, "batch", WholeWorkers(3));
  fixture.Advance(500ms);
  CHECK(fixture.starts.size() == 3);
  CHECK(fixture.starts.front().send_by > fixture.now.steady + 1s);
  CHECK(fixture.Decided(DecisionKind::kDataCentreEmptied) == 0);
}

}  // namespace
}  // namespace jasminespar::jobs
