#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kIdempotent = Idempotence::kIdempotent;
constexpr Idempotence kNonIdempotent = Idempotence::kNonIdempotent;
constexpr Epoch kNextEpoch{2, 0};

ReportedTask MakeReportedTask(const TaskRef& task, TaskState state) {
  ReportedTask reported;
  reported.task = task;
  reported.cell = {"dc-a/0"};
  reported.epoch = {1, 0};
  reported.accelerators = 1;
  reported.state = state;
  return reported;
}

/// @param task set to the task of the recorded attempt.
/// @return the journal, or a snapshot, of an owner that recorded attempt 1 on
///     worker 1.
RecoveredState RecordAttempt(TaskRef& task, bool snapshot = false) {
  CellFixture first(1);
  first.Submit(MakeRequest("once", kNonIdempotent));
  first.MakeDurable();
  task = first.EffectsOf<OrderTask>().at(0).order.task;
  if (snapshot) return {first.cell().SnapshotRecords()};
  return first.Journal();
}

CellFixture MakeNextOwner(RecoveredState state, std::uint64_t workers = 1) {
  return CellFixture(workers, {}, std::move(state), kNextEpoch, false);
}

TEST_CASE("nothing is scheduled until every worker has reported") {
  CellFixture cell = MakeNextOwner({}, 2);
  cell.Submit(MakeRequest("a", kIdempotent));
  cell.Report(1, {});
  CHECK(cell.cell().recovering());
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Report(2, {});
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("a worker that has not reported stays unused after recovery") {
  CellFixture cell = MakeNextOwner({});
  cell.Submit(MakeRequest("a", kIdempotent));
  cell.AdvanceTime(3s);
  CHECK_FALSE(cell.cell().recovering());
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Report(1, {});
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("a recorded attempt that still runs is adopted") {
  TaskRef task;
  const bool snapshot = GENERATE(false, true);
  CellFixture cell = MakeNextOwner(RecordAttempt(task, snapshot));
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  const ReplyToken token = cell.Submit(MakeRequest("once", kNonIdempotent));
  cell.Handle(TaskUpdate{task, {1, 0}, TaskState::kSucceeded, Answer{}});
  cell.MakeDurable();
  CHECK(cell.ReplyTo<Answer>(token));
}

TEST_CASE("a recorded attempt that its worker does not list may have run") {
  TaskRef task;
  CellFixture cell = MakeNextOwner(RecordAttempt(task));
  const ReplyToken token = cell.Submit(MakeRequest("once", kNonIdempotent));
  cell.Report(1, {});
  cell.MakeDurable();
  CHECK(cell.ReplyTo<Refusal>(token)->verdict == Verdict::kMayHaveRun);
  cell.AdvanceTime(10s);
  CHECK(cell.CountOf<OrderTask>() == 0);
}

TEST_CASE(
    "a recorded attempt that its worker knows from a stop alone may have run") {
  TaskRef task;
  CellFixture cell = MakeNextOwner(RecordAttempt(task));
  const ReplyToken token = cell.Submit(MakeRequest("once", kNonIdempotent));
  ReportedTask stopped = MakeReportedTask(task, TaskState::kNeverStarted);
  stopped.accelerators = 0;
  cell.Report(1, {stopped});
  cell.MakeDurable();
  const std::optional<Refusal> refusal = cell.ReplyTo<Refusal>(token);
  REQUIRE(refusal);
  CHECK(refusal->verdict == Verdict::kMayHaveRun);
  cell.AdvanceTime(10s);
  CHECK(cell.CountOf<OrderTask>() == 0);
}

TEST_CASE("a recorded attempt whose hold expired runs again") {
  TaskRef task;
  CellFixture cell = MakeNextOwner(RecordAttempt(task));
  cell.Submit(MakeRequest("once", kNonIdempotent));
  cell.Report(1, {MakeReportedTask(task, TaskState::kNeverStarted)});
  cell.MakeDurable();
  cell.AdvanceTime(1s);
  cell.MakeDurable();
  REQUIRE(cell.CountOf<OrderTask>() == 1);
  CHECK(cell.EffectsOf<OrderTask>()[0].order.task.attempt == Attempt{2});
}

TEST_CASE(
    "a recorded attempt that is only held runs again when submitted again") {
  TaskRef task;
  CellFixture cell = MakeNextOwner(RecordAttempt(task));
  cell.Report(1, {MakeReportedTask(task, TaskState::kHeld)});
  CHECK(cell.EffectsOf<StopTask>().at(0).task == task);
  cell.Handle(TaskUpdate{task, kNextEpoch, TaskState::kNeverStarted, {}});
  cell.AdvanceTime(1s);
  cell.MakeDurable();
  // The earlier owner may have refused the call as not run, without a record.
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Submit(MakeRequest("once", kNonIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.MakeDurable();
  CHECK(cell.EffectsOf<OrderTask>().at(0).order.task.attempt == Attempt{2});
}

TEST_CASE("a caller that submits its call again joins the orphaned run") {
  CellFixture cell = MakeNextOwner({});
  const CallRequest request = MakeRequest("a", kIdempotent);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  const ReplyToken token = cell.Submit(request);
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Handle(TaskUpdate{task, {1, 0}, TaskState::kSucceeded, Answer{}});
  CHECK(cell.ReplyTo<Answer>(token));
}

TEST_CASE(
    "an orphaned run that no caller joins is stopped after its grace period") {
  CellFixture cell = MakeNextOwner({});
  const TaskRef task{MakeRequest("a", kIdempotent).id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  cell.AdvanceTime(CellSettings{}.orphan_grace);
  CHECK(cell.EffectsOf<StopTask>().at(0).task == task);
}

TEST_CASE("a report older than the end of a run does not restore the run") {
  CellFixture cell = MakeNextOwner({});
  const CallRequest request = MakeRequest("a", kIdempotent);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  cell.SendUpdate(task, TaskState::kStopped);
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  CHECK(cell.CountOf<StopTask>() == 1);
  cell.SendUpdate(task, TaskState::kNeverStarted);
  cell.Submit(request);
  REQUIRE(cell.CountOf<OrderTask>() == 1);
  CHECK(cell.EffectsOf<OrderTask>()[0].order.task.attempt == Attempt{2});
}

TEST_CASE("joining a run that is being reclaimed frees no accelerators early") {
  CellFixture cell = MakeNextOwner({});
  const CallRequest request = MakeRequest("a", kIdempotent);
  const TaskRef task{request.id, Attempt{1}, WorkerId{1}};
  cell.Report(1, {MakeReportedTask(task, TaskState::kRunning)});
  CallRequest urgent = MakeRequest("urgent", kIdempotent, 2);
  urgent.priority = Priority::kUrgent;
  cell.Submit(urgent);
  REQUIRE(cell.CountOf<StopTask>() == 1);
  cell.Submit(request);
  cell.Handle(Tick{});
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.SendUpdate(task, TaskState::kStopped);
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("a call sent during recovery is not refused as not run") {
  CellFixture cell = MakeNextOwner({});
  const CallRequest request = MakeRequest("a", kIdempotent);
  const ReplyToken token = cell.Submit(request);
  cell.Handle(CancelCall{{0, 100}, request.id, kAccount});
  CHECK(cell.ReplyTo<Refusal>(token)->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("the next owner returns the outcome of an ended call") {
  CellFixture first(1);
  const CallRequest request = MakeRequest("once", kNonIdempotent);
  first.Submit(request);
  first.MakeDurable();
  const TaskRef task = first.EffectsOf<OrderTask>().at(0).order.task;
  first.SendUpdate(task, TaskState::kHeld);
  first.Succeed(task);
  const bool snapshot = GENERATE(false, true);
  RecoveredState state = first.Journal();
  if (snapshot) state = {first.cell().SnapshotRecords()};
  CellFixture cell = MakeNextOwner(std::move(state));
  CHECK(cell.ReplyTo<Answer>(cell.Submit(request)) == Answer{200, "done"});
}

}  // namespace
}  // namespace jasminespar::cell
