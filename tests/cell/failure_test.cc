#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kIdempotent = Idempotence::kIdempotent;
constexpr Idempotence kNonIdempotent = Idempotence::kNonIdempotent;

/// Submits a non-idempotent call and makes its attempt's record durable.
/// @return its first task.
TaskRef OrderNonIdempotent(CellFixture& cell, ReplyToken& token,
                           int accelerators = 1) {
  token = cell.Submit(MakeRequest("once", kNonIdempotent, accelerators));
  cell.MakeDurable();
  return cell.EffectsOf<OrderTask>().at(0).order.task;
}

Refusal RefusalTo(const CellFixture& cell, ReplyToken token) {
  const auto refusal = cell.ReplyTo<Refusal>(token);
  REQUIRE(refusal);
  return *refusal;
}

TEST_CASE("a call that waits past its deadline was not run") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kIdempotent, 2));
  CallRequest late = MakeRequest("b", kIdempotent, 2);
  late.time_left = 5s;
  const ReplyToken token = cell.Submit(late);
  cell.AdvanceTime(6s);
  CHECK(RefusalTo(cell, token).reason == Reason::kDeadlinePassed);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kNotRun);
}

TEST_CASE("a run past its deadline is stopped and keeps its accelerators") {
  CellFixture cell(1);
  CallRequest request = MakeRequest("a", kIdempotent, 2);
  request.time_left = 5s;
  const ReplyToken token = cell.Submit(request);
  const TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  cell.SendUpdate(task, TaskState::kRunning);
  cell.AdvanceTime(5s);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
  CHECK(cell.CountOf<StopTask>() == 1);
  cell.Submit(MakeRequest("b", kIdempotent, 2));
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.SendUpdate(task, TaskState::kStopped);
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("an order of unknown outcome is stopped until its worker responds") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderNonIdempotent(cell, token);
  cell.Handle(TaskOrderFailed{task});
  CHECK(cell.EffectsOf<StopTask>().at(0).mode == StopMode::kAbort);
  cell.AdvanceTime(2s);
  CHECK(cell.CountOf<StopTask>() >= 2);
  cell.SendUpdate(task, TaskState::kNeverStarted);
  cell.AdvanceTime(1500ms);
  CHECK(cell.CountOf<StopTask>() == 0);
  cell.MakeDurable();
  REQUIRE(cell.CountOf<OrderTask>() == 1);
  CHECK(cell.EffectsOf<OrderTask>()[0].order.task.attempt == Attempt{2});
}

TEST_CASE("a non-idempotent call is not run again after its worker is lost") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderNonIdempotent(cell, token);
  cell.SendUpdate(task, TaskState::kHeld);
  cell.Handle(WorkerLost{task.worker});
  cell.MakeDurable();
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
  cell.AdvanceTime(10s);
  CHECK(cell.CountOf<OrderTask>() == 0);
}

TEST_CASE("a restarted worker's never_started is not trusted after release") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderNonIdempotent(cell, token);
  cell.SendUpdate(task, TaskState::kHeld);
  cell.Handle(CancelCall{{0, 100}, task.call, kAccount});
  cell.SendUpdate(task, TaskState::kNeverStarted);
  cell.MakeDurable();
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a hold that expires after the release stops the whole gang") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kIdempotent, 4));
  const auto orders = cell.EffectsOf<OrderTask>();
  cell.SendUpdate(orders[0].order.task, TaskState::kHeld);
  cell.SendUpdate(orders[1].order.task, TaskState::kHeld);
  cell.SendUpdate(orders[0].order.task, TaskState::kRunning);
  cell.Handle(TaskOrderFailed{orders[1].order.task, Reason::kHoldExpired,
                              Verdict::kNotRun});
  REQUIRE(cell.CountOf<StopTask>() == 1);
  CHECK(cell.EffectsOf<StopTask>()[0].task == orders[0].order.task);
}

TEST_CASE("a gang is not released when its holds may have lapsed") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kIdempotent, 4));
  const auto orders = cell.EffectsOf<OrderTask>();
  cell.SendUpdate(orders[0].order.task, TaskState::kHeld);
  cell.AdvanceTime(CellSettings{}.hold);
  CHECK(cell.CountOf<StopTask>() >= 2);
  cell.SendUpdate(orders[1].order.task, TaskState::kHeld);
  CHECK(cell.CountOf<ReleaseTask>() == 0);
}

TEST_CASE("words of another epoch or attempt are dropped and counted") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kIdempotent));
  TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  cell.Handle(TaskUpdate{task, {0, 7}, TaskState::kSucceeded, Answer{}});
  CHECK(cell.CountOf<CountStaleMessage>() == 1);
  task.attempt.value = 9;
  cell.Succeed(task);
  CHECK(cell.CountOf<CountStaleMessage>() == 1);
  CHECK_FALSE(cell.HasReply(token));
}

TEST_CASE("a success whose answer is lost has run") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderNonIdempotent(cell, token);
  cell.SendUpdate(task, TaskState::kHeld);
  cell.SendUpdate(task, TaskState::kSucceeded);
  cell.MakeDurable();
  CHECK(RefusalTo(cell, token).reason == Reason::kAnswerDamaged);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kRan);
}

TEST_CASE(
    "a non-idempotent call without a durable record may have run at deadline") {
  CellFixture cell;
  CallRequest request = MakeRequest("a", kNonIdempotent);
  const ReplyToken token = cell.Submit(request);
  cell.AdvanceTime(request.time_left);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a leaving worker gets nothing new") {
  CellFixture cell(1);
  cell.Handle(WorkerReported{WorkerId{1}, true, {}});
  cell.Submit(MakeRequest("a", kIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Report(1, {});
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("a worker that is listed again needs no new report") {
  CellFixture cell(1);
  cell.Handle(TopologyChanged{{{"dc-a/0"}, {}}});
  cell.Handle(TopologyChanged{MakeTopology(1)});
  cell.Submit(MakeRequest("a", kIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE(
    "waiting calls are refused at handover; only idempotent ones as not run") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kIdempotent, 2));
  const TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  const ReplyToken idempotent = cell.Submit(MakeRequest("b", kIdempotent, 2));
  const ReplyToken non_idempotent =
      cell.Submit(MakeRequest("c", kNonIdempotent, 2));
  cell.Handle(BeginHandover{});
  CHECK(RefusalTo(cell, idempotent).verdict == Verdict::kNotRun);
  CHECK(RefusalTo(cell, non_idempotent).verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(cell.cell().quiescent());
  cell.Succeed(task);
  cell.MakeDurable();
  CHECK(cell.cell().quiescent());
}

TEST_CASE("a call refused at handover after a run is not refused as not run") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kIdempotent));
  const TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  cell.SendUpdate(task, TaskState::kRunning);
  cell.SendUpdate(task, TaskState::kStopped);
  cell.Handle(BeginHandover{});
  const ReplyToken again = cell.Submit(MakeRequest("a", kIdempotent));
  CHECK(RefusalTo(cell, again).verdict == Verdict::kMayHaveRun);
}

TEST_CASE(
    "an outcome is kept for its retention, and its id for a time after that") {
  CellFixture cell;
  const CallRequest request = MakeRequest("a", kIdempotent);
  cell.Submit(request);
  cell.Succeed(cell.EffectsOf<OrderTask>()[0].order.task);
  cell.MakeDurable();
  const Duration retention = CellSettings{}.default_retention;
  cell.AdvanceTime(retention + 1s);
  cell.Handle(LookUpCall{{0, 100}, request.id, kAccount});
  CHECK(RefusalTo(cell, {0, 100}).reason == Reason::kRetentionPassed);
  cell.AdvanceTime(2 * retention);
  cell.Handle(Tick{});
  cell.Handle(LookUpCall{{0, 101}, request.id, kAccount});
  CHECK(RefusalTo(cell, {0, 101}).reason == Reason::kNotFound);
}

}  // namespace
}  // namespace jasminespar::cell
