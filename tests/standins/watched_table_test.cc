// Pages of a watch of the table in memory.
#include "jasminespar/standins/watched_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace jasminespar::standins {
namespace {

TEST_CASE("a watch returns a full page and goes on from its last row") {
  WatchedTable table;
  for (int i = 0; i < 700; ++i) {
    table.Put({"servers", "", std::to_string(i)}, "entry");
  }
  const auto first =
      std::get<site::RowPage>(*table.Handle(site::Watch{"servers", {}, {}}));
  CHECK(first.rows.size() == 500);
  CHECK(first.has_more);
  CHECK(first.version == first.rows.back().version);
  const auto second = std::get<site::RowPage>(
      *table.Handle(site::Watch{"servers", first.version, {}}));
  CHECK(second.rows.size() == 200);
  CHECK_FALSE(second.has_more);
  CHECK(second.version == second.rows.back().version);
}

}  // namespace
}  // namespace jasminespar::standins
