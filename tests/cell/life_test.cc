#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kMany = Idempotence::kIdempotent;
constexpr Idempotence kOnce = Idempotence::kNonIdempotent;

TEST_CASE("an idempotent call is ordered at once and answered undurably") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kMany));
  REQUIRE(cell.Count<OrderTask>() == 1);
  const TaskOrder order = cell.Of<OrderTask>()[0].order;
  CHECK(order.start_now);
  cell.Word(order.task, TaskState::kRunning);
  cell.Succeed(order.task);
  CHECK(cell.ReplyTo<Answer>(token) == Answer{200, "done"});
}

TEST_CASE("a non-idempotent call is ordered only after its record is durable") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kOnce));
  CHECK(cell.Count<OrderTask>() == 0);
  CHECK(cell.Count<AppendJournal>() == 2);
  cell.Durable();
  REQUIRE(cell.Count<OrderTask>() == 1);
  const TaskRef task = cell.Of<OrderTask>()[0].order.task;
  cell.Word(task, TaskState::kHeld);
  CHECK(cell.Count<ReleaseTask>() == 1);
  cell.Succeed(task);
  CHECK_FALSE(cell.HasReply(token));
  cell.Durable();
  CHECK(cell.ReplyTo<Answer>(token));
  CHECK(cell.Count<ForgetTask>() == 1);
}

TEST_CASE("a call to collect is accepted once that is durable") {
  CellFixture cell;
  CallRequest request = MakeRequest("a", kMany);
  request.delivery = Delivery::kCollect;
  const ReplyToken token = cell.Submit(request);
  CHECK_FALSE(cell.HasReply(token));
  cell.Durable();
  CHECK(cell.ReplyTo<CallAcceptedReply>(token));
}

TEST_CASE("a gang is released only when every part is held") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kMany, 4));
  const auto orders = cell.Of<OrderTask>();
  REQUIRE(orders.size() == 2);
  CHECK_FALSE(orders[0].order.start_now);
  cell.Word(orders[0].order.task, TaskState::kHeld);
  CHECK(cell.Count<ReleaseTask>() == 0);
  cell.Word(orders[1].order.task, TaskState::kHeld);
  CHECK(cell.Count<ReleaseTask>() == 2);
}

TEST_CASE("a key sent again joins the call, and later gets its outcome") {
  CellFixture cell;
  const ReplyToken first = cell.Submit(MakeRequest("a", kMany));
  const TaskRef task = cell.Of<OrderTask>()[0].order.task;
  const ReplyToken second = cell.Submit(MakeRequest("a", kMany));
  CHECK(cell.Count<OrderTask>() == 0);
  cell.Succeed(task);
  const ReplyToken third = cell.Submit(MakeRequest("a", kMany));
  CHECK(cell.ReplyTo<Answer>(first) == Answer{200, "done"});
  CHECK(cell.ReplyTo<Answer>(second) == Answer{200, "done"});
  CHECK(cell.ReplyTo<Answer>(third) == Answer{200, "done"});
}

TEST_CASE("a key with another request is refused as not run") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kMany));
  CallRequest other = MakeRequest("a", kMany);
  other.body = "another body";
  const auto refusal = cell.ReplyTo<Refusal>(cell.Submit(other));
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kKeyReused);
  CHECK(refusal->verdict == Verdict::kNotRun);
}

TEST_CASE("looking up tells the state and keeps accounts apart") {
  CellFixture cell;
  const CallRequest request = MakeRequest("a", kMany);
  cell.Submit(request);
  cell.Give(LookUpCall{{0, 100}, request.id, kAccount});
  const auto status = cell.ReplyTo<CallStatus>({0, 100});
  REQUIRE(status);
  CHECK(status->state == CallState::kRunning);
  cell.Give(LookUpCall{{0, 101}, request.id, {"other"}});
  CHECK(cell.ReplyTo<Refusal>({0, 101})->reason == Reason::kNotFound);
}

TEST_CASE("a waiting call is cancelled as not run") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kMany, 2));
  const CallRequest waiting = MakeRequest("b", kMany, 2);
  const ReplyToken token = cell.Submit(waiting);
  cell.Give(CancelCall{{0, 100}, waiting.id, kAccount});
  CHECK(cell.ReplyTo<Refusal>(token)->reason == Reason::kCancelled);
  CHECK(cell.ReplyTo<Refusal>({0, 100})->verdict == Verdict::kNotRun);
}

}  // namespace
}  // namespace jasminespar::cell
