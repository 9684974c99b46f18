#include "jasminespar/clients/client_budget.h"

#include <catch2/catch.hpp>

namespace jasminespar::clients {
namespace {

constexpr std::size_t kMiB = 1U << 20;

TimePoint At(Duration since_start) { return TimePoint{} + since_start; }

/// @return a budget with connections 1, 2 and so on, opened at the start.
ClientBudget Opened(const BudgetLimits& limits, ConnectionNumber count) {
  ClientBudget budget(limits);
  for (ConnectionNumber i = 1; i <= count; ++i) budget.Open(i, At(0s));
  return budget;
}

TEST_CASE("while all fits, no connection is chosen") {
  ClientBudget budget = Opened({10 * kMiB, 4}, 4);
  for (ConnectionNumber i = 1; i <= 4; ++i) {
    budget.Update(i, Phase::kReading, 2 * kMiB, At(1s));
  }
  CHECK(budget.ChooseOverBudget(At(100s)).empty());
  CHECK_FALSE(budget.OverConnections());
}

TEST_CASE(
    "those that hold most for longest go first, and no more than needed") {
  ClientBudget budget = Opened({11 * kMiB, 8}, 4);
  budget.Update(1, Phase::kReading, 5 * kMiB, At(9s));  // Young.
  budget.Update(2, Phase::kReading, 4 * kMiB, At(1s));  // Large and old.
  budget.Update(3, Phase::kReading, kMiB, At(1s));
  CHECK(budget.ChooseOverBudget(At(10s)).empty());
  budget.Update(4, Phase::kReading, 3 * kMiB, At(10s));
  CHECK(budget.ChooseOverBudget(At(10s)) == std::vector<ConnectionNumber>{2});
  // What it held is about to be free, so none is chosen in its place.
  CHECK(budget.ChooseOverBudget(At(10s)).empty());
  budget.Close(2);
  CHECK(budget.held_bytes() == 9 * kMiB + 3 * kConnectionBytes);
}

TEST_CASE("a connection that has just begun can be chosen too") {
  ClientBudget budget = Opened({kMiB, 8}, 1);
  budget.Update(1, Phase::kReading, 2 * kMiB, At(0s));
  CHECK(budget.ChooseOverBudget(At(0s)) == std::vector<ConnectionNumber>{1});
}

TEST_CASE("a request that was read whole is never chosen") {
  ClientBudget budget = Opened({kMiB, 1}, 2);
  budget.Update(1, Phase::kHandling, 8 * kMiB, At(0s));
  budget.Update(2, Phase::kHandling, 8 * kMiB, At(0s));
  CHECK(budget.ChooseOverBudget(At(100s)).empty());
  CHECK(budget.OverConnections());
  CHECK_FALSE(budget.ChooseOldest(2, At(100s)));
}

TEST_CASE("a chosen connection that was read whole meanwhile is served") {
  ClientBudget budget = Opened({kMiB, 8}, 1);
  budget.Update(1, Phase::kReading, 2 * kMiB, At(0s));
  REQUIRE(budget.ChooseOverBudget(At(0s)).size() == 1);
  budget.Update(1, Phase::kHandling, 2 * kMiB, At(1s));
  CHECK(budget.ChooseOverBudget(At(100s)).empty());
}

TEST_CASE("an answer that is not taken is chosen after its grace only") {
  ClientBudget budget = Opened({kMiB, 8}, 1);
  budget.Update(1, Phase::kWriting, 2 * kMiB, At(0s));
  CHECK(budget.ChooseOverBudget(At(kAnswerGrace - 1us)).empty());
  CHECK(budget.ChooseOverBudget(At(kAnswerGrace)) ==
        std::vector<ConnectionNumber>{1});
}

TEST_CASE("one request may always be handled, more while they fit") {
  ClientBudget budget = Opened({4 * kMiB, 8}, 3);
  CHECK(budget.MayHandle(100 * kMiB));
  budget.Update(1, Phase::kHandling, kMiB, At(0s));
  CHECK(budget.MayHandle(2 * kMiB));
  CHECK_FALSE(budget.MayHandle(3 * kMiB));
  CHECK_FALSE(budget.MayHandle(100 * kMiB));
  budget.Close(1);
  CHECK(budget.MayHandle(100 * kMiB));
}

TEST_CASE("over the limit of connections, the one idle for longest goes") {
  ClientBudget budget = Opened({10 * kMiB, 3}, 3);
  CHECK_FALSE(budget.OverConnections());
  budget.Update(1, Phase::kHandling, 0, At(1s));
  budget.Update(1, Phase::kIdle, 0, At(2s));
  budget.Update(2, Phase::kReading, 100, At(0s));
  budget.Open(4, At(5s));
  CHECK(budget.OverConnections());
  CHECK(budget.ChooseOldest(4, At(5s)) == 3U);
  // One that is about to end counts no more.
  CHECK_FALSE(budget.OverConnections());
  budget.Close(3);
  budget.Open(5, At(5s));
  budget.Update(4, Phase::kReading, 100, At(5s));
  CHECK(budget.ChooseOldest(5, At(5s)) == 1U);
  budget.Close(1);
  budget.Open(6, At(5s));
  budget.Update(5, Phase::kReading, 100, At(5s));
  // Now only readers are left, of which one is slow.
  CHECK(budget.ChooseOldest(6, At(5s)) == 2U);
  budget.Close(2);
  budget.Open(7, At(5s));
  budget.Update(6, Phase::kReading, 100, At(5s));
  CHECK_FALSE(budget.ChooseOldest(7, At(5s)));
}

TEST_CASE("connections that were idle for too long are chosen once") {
  ClientBudget budget = Opened({kMiB, 8}, 3);
  budget.Update(1, Phase::kReading, 100, At(0s));
  budget.Update(2, Phase::kHandling, 0, At(1s));
  budget.Update(2, Phase::kIdle, 0, At(2s));
  CHECK(budget.ChooseIdleFor(10s, At(9s)).empty());
  CHECK(budget.ChooseIdleFor(10s, At(11s)) == std::vector<ConnectionNumber>{3});
  CHECK(budget.ChooseIdleFor(10s, At(11s)).empty());
  CHECK(budget.ChooseIdleFor(10s, At(12s)) == std::vector<ConnectionNumber>{2});
}

TEST_CASE("framing without end is too much, chunks of one byte are not") {
  constexpr std::size_t kLimit = 16U << 10;
  CHECK_FALSE(ExceedsFraming({kLimit, 0}, kLimit, kLimit));
  CHECK_FALSE(ExceedsFraming({2 * kLimit, 0}, kLimit, kLimit));
  CHECK(ExceedsFraming({2 * kLimit + 1, 0}, kLimit, kLimit));
  CHECK_FALSE(ExceedsFraming({2 * kLimit + 6 * kMiB, kMiB}, kLimit, kLimit));
  CHECK(ExceedsFraming({2 * kLimit + 10 * kMiB, kMiB}, kLimit, kLimit));
  CHECK_FALSE(ExceedsFraming({8 * kMiB, 8 * kMiB}, kLimit, kLimit));
}

TEST_CASE("what is held is counted to nothing when all have gone") {
  ClientBudget budget = Opened({kMiB, 8}, 5);
  budget.Update(1, Phase::kReading, kMiB, At(1s));
  budget.Update(2, Phase::kWriting, kMiB, At(1s));
  static_cast<void>(budget.ChooseOverBudget(At(9s)));
  for (ConnectionNumber i = 1; i <= 5; ++i) budget.Close(i);
  budget.Close(5);
  CHECK(budget.held_bytes() == 0);
  CHECK(budget.connections() == 0);
}

}  // namespace
}  // namespace jasminespar::clients
