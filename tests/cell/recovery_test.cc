#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kMany = Idempotence::kIdempotent;
constexpr Idempotence kOnce = Idempotence::kNonIdempotent;
constexpr Epoch kNext{2, 0};

ReportedTask Listed(const TaskRef& task, TaskState state) {
  ReportedTask reported;
  reported.task = task;
  reported.cell = {"dc-a/0"};
  reported.epoch = {1, 0};
  reported.accelerators = 1;
  reported.state = state;
  return reported;
}

/// Journal of an owner that recorded attempt 1 on worker 1, or a snapshot.
RecoveredState OpenAttempt(TaskRef& task, bool snapshot = false) {
  CellFixture first(1);
  first.Submit(MakeRequest("once", kOnce));
  first.Durable();
  task = first.Of<OrderTask>().at(0).order.task;
  if (snapshot) return {first.cell().SnapshotRecords()};
  return first.Journal();
}

CellFixture Successor(RecoveredState state, std::uint64_t workers = 1) {
  return CellFixture(workers, {}, std::move(state), kNext, false);
}

TEST_CASE("nothing is decided until every worker has reported") {
  CellFixture cell = Successor({}, 2);
  cell.Submit(MakeRequest("a", kMany));
  cell.Report(1, {});
  CHECK(cell.cell().recovering());
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Report(2, {});
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("a worker that has not reported stays unused after recovery") {
  CellFixture cell = Successor({});
  cell.Submit(MakeRequest("a", kMany));
  cell.Pass(3s);
  CHECK_FALSE(cell.cell().recovering());
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Report(1, {});
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("a recorded attempt that still runs is adopted") {
  TaskRef task;
  const bool snapshot = GENERATE(false, true);
  CellFixture cell = Successor(OpenAttempt(task, snapshot));
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  const ReplyToken token = cell.Submit(MakeRequest("once", kOnce));
  cell.Give(TaskUpdate{task, {1, 0}, TaskState::kSucceeded, Answer{}});
  cell.Durable();
  CHECK(cell.ReplyTo<Answer>(token));
}

TEST_CASE("a recorded attempt that its worker does not list may have run") {
  TaskRef task;
  CellFixture cell = Successor(OpenAttempt(task));
  const ReplyToken token = cell.Submit(MakeRequest("once", kOnce));
  cell.Report(1, {});
  cell.Durable();
  CHECK(cell.ReplyTo<Refusal>(token)->verdict == Verdict::kMayHaveRun);
  cell.Pass(10s);
  CHECK(cell.Count<OrderTask>() == 0);
}

TEST_CASE("a recorded attempt that is only held runs again when asked for") {
  TaskRef task;
  CellFixture cell = Successor(OpenAttempt(task));
  cell.Report(1, {Listed(task, TaskState::kHeld)});
  CHECK(cell.Of<StopTask>().at(0).task == task);
  cell.Give(TaskUpdate{task, kNext, TaskState::kNeverStarted, {}});
  cell.Pass(1s);
  cell.Durable();
  // The earlier owner may have told the caller that nothing ran.
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Submit(MakeRequest("once", kOnce));
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Durable();
  CHECK(cell.Of<OrderTask>().at(0).order.task.attempt == Attempt{2});
}

TEST_CASE("a caller that sends its call again joins the run that is left") {
  CellFixture cell = Successor({});
  const CallRequest request = MakeRequest("a", kMany);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  const ReplyToken token = cell.Submit(request);
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Give(TaskUpdate{task, {1, 0}, TaskState::kSucceeded, Answer{}});
  CHECK(cell.ReplyTo<Answer>(token));
}

TEST_CASE("a run that nobody joins is stopped after its grace") {
  CellFixture cell = Successor({});
  const TaskRef task{MakeRequest("a", kMany).id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  cell.Pass(CellSettings{}.orphan_grace);
  CHECK(cell.Of<StopTask>().at(0).task == task);
}

TEST_CASE("a report older than the end of a run does not bring it back") {
  CellFixture cell = Successor({});
  const CallRequest request = MakeRequest("a", kMany);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  cell.Word(task, TaskState::kStopped);
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  CHECK(cell.Count<StopTask>() == 1);
  cell.Word(task, TaskState::kNeverStarted);
  cell.Submit(request);
  REQUIRE(cell.Count<OrderTask>() == 1);
  CHECK(cell.Of<OrderTask>()[0].order.task.attempt == Attempt{2});
}

TEST_CASE("joining a run that is being reclaimed frees nothing early") {
  CellFixture cell = Successor({});
  const CallRequest request = MakeRequest("a", kMany);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {Listed(task, TaskState::kRunning)});
  CallRequest urgent = MakeRequest("urgent", kMany, 2);
  urgent.priority = Priority::kUrgent;
  cell.Submit(urgent);
  REQUIRE(cell.Count<StopTask>() == 1);
  cell.Submit(request);
  cell.Give(Tick{});
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Word(task, TaskState::kStopped);
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("a call sent during recovery is not refused as not run") {
  CellFixture cell = Successor({});
  const CallRequest request = MakeRequest("a", kMany);
  const ReplyToken token = cell.Submit(request);
  cell.Give(CancelCall{{0, 100}, request.id, kAccount});
  CHECK(cell.ReplyTo<Refusal>(token)->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("an outcome survives its owner") {
  CellFixture first(1);
  const CallRequest request = MakeRequest("once", kOnce);
  first.Submit(request);
  first.Durable();
  const TaskRef task = first.Of<OrderTask>().at(0).order.task;
  first.Word(task, TaskState::kHeld);
  first.Succeed(task);
  const bool snapshot = GENERATE(false, true);
  RecoveredState state = first.Journal();
  if (snapshot) state = {first.cell().SnapshotRecords()};
  CellFixture cell = Successor(std::move(state));
  CHECK(cell.ReplyTo<Answer>(cell.Submit(request)) == Answer{200, "done"});
}

}  // namespace
}  // namespace jasminespar::cell
