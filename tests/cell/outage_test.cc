#include <catch2/catch.hpp>

#include "cell/cell_fixture.h"

namespace jasminespar::cell {
namespace {

constexpr Idempotence kOnce = Idempotence::kNonIdempotent;
constexpr Idempotence kMany = Idempotence::kIdempotent;

TEST_CASE("a call that waits for its record is refused when the store fails") {
  CellFixture cell;
  const ReplyToken token = cell.Submit(MakeRequest("once", kOnce));
  cell.Give(StoreChanged{false});
  const auto refusal = cell.ReplyTo<Refusal>(token);
  REQUIRE(refusal);
  CHECK(refusal->reason == Reason::kStoreUnavailable);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Duration::zero());
  // Its records becoming durable later must start nothing.
  cell.Durable();
  cell.Pass(1s);
  CHECK(cell.Count<OrderTask>() == 0);
}

TEST_CASE("a call refused for the store runs when it is sent again") {
  CellFixture cell;
  const CallRequest request = MakeRequest("once", kOnce);
  cell.Submit(request);
  cell.Give(StoreChanged{false});
  cell.Give(StoreChanged{true});
  cell.Submit(request);
  cell.Durable();
  // Attempt 1 was given up with a record; its number is not used again.
  CHECK(cell.Of<OrderTask>().at(0).order.task.attempt == Attempt{2});
}

TEST_CASE("a new promise is refused during an outage, idempotent work is not") {
  CellFixture cell;
  cell.Give(StoreChanged{false});
  const ReplyToken once = cell.Submit(MakeRequest("once", kOnce));
  CHECK(cell.ReplyTo<Refusal>(once)->verdict == Verdict::kNotRun);
  cell.Submit(MakeRequest("many", kMany));
  CHECK(cell.Count<OrderTask>() == 1);
}

TEST_CASE("a provisional owner does not say not_run of a promise") {
  CellFixture cell(2, {}, {}, Epoch{1, 5});
  cell.Give(StoreChanged{false});
  const ReplyToken once = cell.Submit(MakeRequest("once", kOnce));
  CHECK(cell.ReplyTo<Refusal>(once)->verdict == Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace jasminespar::cell
