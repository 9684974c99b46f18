#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kNonIdempotent = Idempotence::kNonIdempotent;
constexpr Idempotence kIdempotent = Idempotence::kIdempotent;

TEST_CASE("a call that waits for its record is refused when the store fails") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("once", kNonIdempotent));
  cell.Handle(StoreChanged{false});
  const auto refusal = cell.ReplyTo<Refusal>(token);
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kStoreUnavailable);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Duration::zero());
  // No task starts when its records become durable later.
  cell.MakeDurable();
  cell.AdvanceTime(1s);
  CHECK(cell.CountOf<OrderTask>() == 0);
}

TEST_CASE("a call refused for the store runs when it is sent again") {
  CellFixture cell;
  const CallRequest request = MakeRequest("once", kNonIdempotent);
  cell.Submit(request);
  cell.Handle(StoreChanged{false});
  cell.Handle(StoreChanged{true});
  cell.Submit(request);
  cell.MakeDurable();
  // Attempt 1 was abandoned with a record; its number is not used again.
  CHECK(cell.EffectsOf<OrderTask>().at(0).order.task.attempt == Attempt{2});
}

TEST_CASE(
    "during an outage non-idempotent calls are refused, idempotent ones run") {
  CellFixture cell;
  cell.Handle(StoreChanged{false});
  const ReplyToken once = cell.Submit(MakeRequest("once", kNonIdempotent));
  CHECK(cell.ReplyTo<Refusal>(once)->verdict == Verdict::kNotRun);
  cell.Submit(MakeRequest("many", kIdempotent));
  CHECK(cell.CountOf<OrderTask>() == 1);
}

TEST_CASE("a provisional owner never says not_run of a non-idempotent call") {
  CellFixture cell(2, {}, {}, Epoch{1, 5});
  cell.Handle(StoreChanged{false});
  const ReplyToken once = cell.Submit(MakeRequest("once", kNonIdempotent));
  CHECK(cell.ReplyTo<Refusal>(once)->verdict == Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace jasminespar::cell
