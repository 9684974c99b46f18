#include "jasminespar/standins/table.h"

#include <catch2/catch.hpp>

#include "jasminespar/standins/token_bucket.h"

namespace jasminespar::standins {
namespace {

TEST_CASE("a transaction writes all rows or none") {
  Table table;
  CHECK(table.Transact({"1", {{"a", 0}}, {{"a", "x"}, {"b", "y"}}}).committed);
  const TransactionResult second =
      table.Transact({"2", {{"a", 1}, {"b", 0}}, {{"a", "z"}}});
  CHECK_FALSE(second.committed);
  REQUIRE(second.failed.size() == 1);
  CHECK(second.failed[0] == RowVersion{"b", 1});
  CHECK(table.Read({"a", "b", "c"}).size() == 2);
  CHECK(table.Read({"a"})[0].value == "x");
}

TEST_CASE("a row written again after its deletion gets a new version") {
  Table table;
  table.Transact({"1", {}, {{"a", "x"}}});
  table.Transact({"2", {}, {{"a", std::nullopt}}});
  CHECK(table.Read({"a"}).empty());
  table.Transact({"3", {{"a", 0}}, {{"a", "y"}}});
  CHECK(table.Read({"a"})[0].version == 2);
}

TEST_CASE("a scan returns rows with the prefix in order, after a given key") {
  Table table;
  table.Transact({"1", {}, {{"p/1", ""}, {"p/2", ""}, {"p/3", ""}, {"q", ""}}});
  CHECK(table.Scan("p/", "", 10).size() == 3);
  const std::vector<Row> rows = table.Scan("p/", "p/1", 1);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].key == "p/2");
}

TEST_CASE("an empty token bucket refuses and refills with time") {
  TokenBucket bucket(10);
  TimePoint now{};
  CHECK(bucket.TryTake(10, now));
  CHECK_FALSE(bucket.TryTake(1, now));
  now += 100ms;
  CHECK(bucket.TryTake(1, now));
  CHECK_FALSE(bucket.TryTake(1, now));
}

}  // namespace
}  // namespace jasminespar::standins
