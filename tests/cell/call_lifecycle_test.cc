#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kIdempotent = Idempotence::kIdempotent;
constexpr Idempotence kNonIdempotent = Idempotence::kNonIdempotent;

TEST_CASE(
    "an idempotent call is ordered at once and answered without a record") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kIdempotent));
  REQUIRE(cell.CountOf<OrderTask>() == 1);
  const TaskOrder order = cell.EffectsOf<OrderTask>()[0].order;
  CHECK(order.start_now);
  cell.SendUpdate(order.task, TaskState::kRunning);
  cell.Succeed(order.task);
  CHECK(cell.ReplyTo<Answer>(token) == Answer{200, "done"});
}

TEST_CASE("a non-idempotent call is ordered only after its record is durable") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("a", kNonIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 0);
  CHECK(cell.CountOf<AppendJournal>() == 2);
  cell.MakeDurable();
  REQUIRE(cell.CountOf<OrderTask>() == 1);
  const TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  cell.SendUpdate(task, TaskState::kHeld);
  CHECK(cell.CountOf<ReleaseTask>() == 1);
  cell.Succeed(task);
  CHECK_FALSE(cell.HasReply(token));
  cell.MakeDurable();
  CHECK(cell.ReplyTo<Answer>(token));
  CHECK(cell.CountOf<ForgetTask>() == 1);
}

TEST_CASE("a call to collect is accepted once its record is durable") {
  CellFixture cell;
  CallRequest request = MakeRequest("a", kIdempotent);
  request.delivery = Delivery::kCollect;
  const ReplyToken token = cell.Submit(request);
  CHECK_FALSE(cell.HasReply(token));
  cell.MakeDurable();
  CHECK(cell.ReplyTo<CallAcceptedReply>(token));
}

TEST_CASE("a gang is released only when every part is held") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kIdempotent, 4));
  const auto orders = cell.EffectsOf<OrderTask>();
  REQUIRE(orders.size() == 2);
  CHECK_FALSE(orders[0].order.start_now);
  cell.SendUpdate(orders[0].order.task, TaskState::kHeld);
  CHECK(cell.CountOf<ReleaseTask>() == 0);
  cell.SendUpdate(orders[1].order.task, TaskState::kHeld);
  CHECK(cell.CountOf<ReleaseTask>() == 2);
}

TEST_CASE("a key sent again joins the call, and later gets its outcome") {
  CellFixture cell;
  const ReplyToken first = cell.Submit(MakeRequest("a", kIdempotent));
  const TaskRef task = cell.EffectsOf<OrderTask>()[0].order.task;
  const ReplyToken second = cell.Submit(MakeRequest("a", kIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 0);
  cell.Succeed(task);
  const ReplyToken third = cell.Submit(MakeRequest("a", kIdempotent));
  CHECK(cell.ReplyTo<Answer>(first) == Answer{200, "done"});
  CHECK(cell.ReplyTo<Answer>(second) == Answer{200, "done"});
  CHECK(cell.ReplyTo<Answer>(third) == Answer{200, "done"});
}

TEST_CASE("a key with another request is refused as not run") {
  CellFixture cell;
  cell.Submit(MakeRequest("a", kIdempotent));
  CallRequest other = MakeRequest("a", kIdempotent);
  other.body = "another body";
  const auto refusal = cell.ReplyTo<Refusal>(cell.Submit(other));
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kKeyReused);
  CHECK(refusal->verdict == Verdict::kNotRun);
}

TEST_CASE(
    "looking up returns the state and hides the calls of other accounts") {
  CellFixture cell;
  const CallRequest request = MakeRequest("a", kIdempotent);
  cell.Submit(request);
  cell.Handle(LookUpCall{{0, 100}, request.id, kAccount});
  const auto status = cell.ReplyTo<CallStatus>({0, 100});
  REQUIRE(status);
  CHECK(status->state == CallState::kRunning);
  cell.Handle(LookUpCall{{0, 101}, request.id, {"other"}});
  CHECK(cell.ReplyTo<Refusal>({0, 101})->reason == Reason::kNotFound);
}

TEST_CASE("a waiting call is cancelled as not run") {
  CellFixture cell(1);
  cell.Submit(MakeRequest("a", kIdempotent, 2));
  const CallRequest waiting = MakeRequest("b", kIdempotent, 2);
  const ReplyToken token = cell.Submit(waiting);
  cell.Handle(CancelCall{{0, 100}, waiting.id, kAccount});
  CHECK(cell.ReplyTo<Refusal>(token)->reason == Reason::kCancelled);
  CHECK(cell.ReplyTo<Refusal>({0, 100})->verdict == Verdict::kNotRun);
}

}  // namespace
}  // namespace jasminespar::cell
