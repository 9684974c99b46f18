#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kMany = Idempotence::kIdempotent;
constexpr Idempotence kOnce = Idempotence::kNonIdempotent;

/// Submits a non-idempotent call and makes its attempt durable.
TaskRef OrderOnce(CellFixture& cell, ReplyToken& token, int accelerators = 1) {
  token = cell.Submit(MakeRequest("once", kOnce, accelerators));
  cell.Durable();
  return cell.Of<OrderTask>().at(0).order.task;
}

Refusal RefusalTo(const CellFixture& cell, ReplyToken token) {
  const auto refusal = cell.ReplyTo<Refusal>(token);
  REQUIRE(refusal);
  return *refusal;
}

TEST_CASE("a call that waits past its deadline was not run") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kMany, 2));
  CallRequest late = MakeRequest("b", kMany, 2);
  late.time_left = 5s;
  const ReplyToken token = cell.Submit(late);
  cell.Pass(6s);
  CHECK(RefusalTo(cell, token).reason == Reason::kDeadlinePassed);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kNotRun);
}

TEST_CASE("a run past its deadline is stopped and keeps its accelerators") {
  CellFixture cell(1);
  CallRequest request = MakeRequest("a", kMany, 2);
  request.time_left = 5s;
  const ReplyToken token = cell.Submit(request);
  const TaskRef task = cell.Of<OrderTask>()[0].order.task;
  cell.Word(task, TaskState::kRunning);
  cell.Pass(5s);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
  CHECK(cell.Count<StopTask>() == 1);
  cell.Submit(MakeRequest("b", kMany, 2));
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Word(task, TaskState::kStopped);
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("an order of unknown outcome is stopped until its worker speaks") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderOnce(cell, token);
  cell.Give(TaskOrderFailed{task});
  CHECK(cell.Of<StopTask>().at(0).mode == StopMode::kAbort);
  cell.Pass(2s);
  CHECK(cell.Count<StopTask>() >= 2);
  cell.Word(task, TaskState::kNeverStarted);
  cell.Pass(1500ms);
  CHECK(cell.Count<StopTask>() == 0);
  cell.Durable();
  REQUIRE(cell.Count<OrderTask>() == 1);
  CHECK(cell.Of<OrderTask>()[0].order.task.attempt == Attempt{2});
}

TEST_CASE("a non-idempotent call is not run again after its worker is lost") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderOnce(cell, token);
  cell.Word(task, TaskState::kHeld);
  cell.Give(WorkerLapsed{task.worker});
  cell.Durable();
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
  cell.Pass(10s);
  CHECK(cell.Count<OrderTask>() == 0);
}

TEST_CASE("a restarted worker's never_started is not believed after release") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderOnce(cell, token);
  cell.Word(task, TaskState::kHeld);
  cell.Give(CancelCall{{0, 100}, task.call, kAccount});
  cell.Word(task, TaskState::kNeverStarted);
  cell.Durable();
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a hold that lapses after the release stops the whole gang") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kMany, 4));
  const auto orders = cell.Of<OrderTask>();
  cell.Word(orders[0].order.task, TaskState::kHeld);
  cell.Word(orders[1].order.task, TaskState::kHeld);
  cell.Word(orders[0].order.task, TaskState::kRunning);
  cell.Give(TaskOrderFailed{orders[1].order.task, Reason::kHoldExpired,
                            Verdict::kNotRun});
  REQUIRE(cell.Count<StopTask>() == 1);
  CHECK(cell.Of<StopTask>()[0].task == orders[0].order.task);
}

TEST_CASE("a gang is not released when its holds may have lapsed") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kMany, 4));
  const auto orders = cell.Of<OrderTask>();
  cell.Word(orders[0].order.task, TaskState::kHeld);
  cell.Pass(CellSettings{}.hold);
  CHECK(cell.Count<StopTask>() >= 2);
  cell.Word(orders[1].order.task, TaskState::kHeld);
  CHECK(cell.Count<ReleaseTask>() == 0);
}

TEST_CASE("words of another epoch or attempt are dropped and counted") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kMany));
  TaskRef task = cell.Of<OrderTask>()[0].order.task;
  cell.Give(TaskChanged{task, {0, 7}, TaskState::kSucceeded, Answer{}});
  CHECK(cell.Count<CountStale>() == 1);
  task.attempt.value = 9;
  cell.Succeed(task);
  CHECK(cell.Count<CountStale>() == 1);
  CHECK_FALSE(cell.HasReply(token));
}

TEST_CASE("a success whose answer is lost has run") {
  CellFixture cell;
  ReplyToken token;
  const TaskRef task = OrderOnce(cell, token);
  cell.Word(task, TaskState::kHeld);
  cell.Word(task, TaskState::kSucceeded);
  cell.Durable();
  CHECK(RefusalTo(cell, token).reason == Reason::kAnswerDamaged);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kRan);
}

TEST_CASE("a promised call without its record may have run at its deadline") {
  CellFixture cell;
  CallRequest request = MakeRequest("a", kOnce);
  const ReplyToken token = cell.Submit(request);
  cell.Pass(request.time_left);
  CHECK(RefusalTo(cell, token).verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a leaving worker gets nothing new") {
  CellFixture cell(1);
  cell.Give(WorkerReported{WorkerId{1}, true, {}});
  cell.Submit(MakeRequest("a", kMany));
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Report(1, {});
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("a worker that is listed again needs no new report") {
  CellFixture cell(1);
  cell.Give(TopologyChanged{{{"dc-a/0"}, {}}});
  cell.Give(TopologyChanged{MakeTopology(1)});
  cell.Submit(MakeRequest("a", kMany));
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("waiting calls are given back at handover, promised ones stay") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kMany, 2));
  const TaskRef task = cell.Of<OrderTask>()[0].order.task;
  const ReplyToken many = cell.Submit(MakeRequest("b", kMany, 2));
  const ReplyToken once = cell.Submit(MakeRequest("c", kOnce, 2));
  cell.Give(BeginHandover{});
  CHECK(RefusalTo(cell, many).verdict == Verdict::kNotRun);
  CHECK(RefusalTo(cell, once).verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(cell.cell().quiescent());
  cell.Succeed(task);
  cell.Durable();
  CHECK(cell.cell().quiescent());
}

TEST_CASE("a call given back after a run is not refused as not run") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kMany));
  const TaskRef task = cell.Of<OrderTask>()[0].order.task;
  cell.Word(task, TaskState::kRunning);
  cell.Word(task, TaskState::kStopped);
  cell.Give(BeginHandover{});
  const ReplyToken again = cell.Submit(MakeRequest("a", kMany));
  CHECK(RefusalTo(cell, again).verdict == Verdict::kMayHaveRun);
}

TEST_CASE("an outcome is kept for its retention and then remembered") {
  CellFixture cell;
  const CallRequest request = MakeRequest("a", kMany);
  cell.Submit(request);
  cell.Succeed(cell.Of<OrderTask>()[0].order.task);
  cell.Durable();
  const Duration retention = CellSettings{}.default_retention;
  cell.Pass(retention + 1s);
  cell.Give(LookUpCall{{0, 100}, request.id, kAccount});
  CHECK(RefusalTo(cell, {0, 100}).reason == Reason::kRetentionPassed);
  cell.Pass(2 * retention);
  cell.Give(Tick{});
  cell.Give(LookUpCall{{0, 101}, request.id, kAccount});
  CHECK(RefusalTo(cell, {0, 101}).reason == Reason::kNotFound);
}

}  // namespace
}  // namespace jasminespar::cell
