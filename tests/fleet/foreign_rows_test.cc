// Rows that another writer left among those of the runners, and damaged rows in
// pages and reports. They name nothing to use; the rows beside them hold.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "jasminespar/fleet/fleet_codec.h"

namespace jasminespar::fleet {
namespace {

using Json = nlohmann::json;

const site::SiteCodec kCodec = MakeFleetCodec();

Json GoodEntry() {
  return {{"service", "s"},
          {"addr", "10.0.0.1:80"},
          {"state", "ready"},
          {"capacity", {{"cpu", 32'000}, {"mem_mb", 64'000}, {"gpu", 8}}},
          {"labels", {"a", "r1-3"}},
          {"born", 1'790'000'000'000}};
}

bool IsUsed(const std::string& value, const std::string& name = "i-1") {
  site::Row row;
  row.key.key = name;
  row.value = value;
  return std::holds_alternative<jobs::WorkerEntry>(
      kCodec.operators.decode_worker(row));
}

bool IsUsedWith(const std::string& member, const Json& value) {
  Json entry = GoodEntry();
  entry[member] = value;
  return IsUsed(entry.dump());
}

http::Response ResponseOf(const Json& body) {
  http::Response response;
  response.status = 200;
  response.body = body.dump();
  return response;
}

TEST_CASE("a runner's entry is used, also with whole numbers as fractions") {
  CHECK(IsUsed(GoodEntry().dump()));
  CHECK(IsUsedWith("capacity", {{"cpu", 32'000.0}, {"gpu", 8.0}}));
  CHECK(IsUsedWith("a new field", {{"nested", {1, 2}}}));
}

TEST_CASE("an entry with a capacity that no machine has names no runner") {
  const Json too_large = Json::parse("99999999999999999999");
  for (const Json& amount : {Json(1e308), Json(9e18), too_large, Json(-5),
                             Json(0.5), Json("8"), Json(nullptr)}) {
    CAPTURE(amount);
    CHECK_FALSE(IsUsedWith("capacity", {{"cpu", amount}}));
    CHECK_FALSE(IsUsedWith("capacity", {{"mem_mb", amount}}));
    CHECK_FALSE(IsUsedWith("capacity", {{"gpu", amount}}));
  }
  CHECK_FALSE(IsUsedWith("capacity", Json::array({1, 2})));
}

TEST_CASE("an entry without a usable address names no runner") {
  for (const char* address :
       {"127.0.0.1:0", ":80", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1",
        "127.0.0.1:", "no-address:80", "0.0.0.0:80", "1.2.3:80", ""}) {
    CAPTURE(address);
    CHECK_FALSE(IsUsedWith("addr", address));
  }
}

TEST_CASE("an entry with an odd service, name or start names no runner") {
  CHECK_FALSE(IsUsedWith("service", ""));
  CHECK_FALSE(IsUsed(GoodEntry().dump(), ""));
  CHECK_FALSE(IsUsed(GoodEntry().dump(), "i-1\r\nFencing-Token: 9"));
  for (const Json& born : {Json(-3), Json(1e300), Json("now"), Json(1.5)}) {
    CAPTURE(born);
    CHECK_FALSE(IsUsedWith("born", born));
  }
}

TEST_CASE("an entry that is nested very deeply names no runner") {
  constexpr std::size_t kDepth = 1'000'000;
  std::string value = GoodEntry().dump();
  value.pop_back();
  value += ",\"more\":" + std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_FALSE(IsUsed(value + "}"));
  CHECK_FALSE(IsUsed(std::string(kDepth, '[')));
}

TEST_CASE("a row that cannot be read leaves the rows of its page readable") {
  const Json good{{"table", "t"}, {"key", "k"}, {"ver", 7}, {"value", "YQ=="}};
  Json not_base64 = good;
  not_base64["value"] = "*";
  Json other_types{{"table", 1}, {"key", {2}}, {"ver", "x"}, {"value", 3}};
  const Json page{{"rows", {not_base64, 7, other_types, good}}, {"ver", 9}};
  const site::TableOutcome outcome =
      kCodec.table.decode(site::Watch{}, ResponseOf(page));
  REQUIRE(std::holds_alternative<site::RowPage>(outcome));
  const auto& rows = std::get<site::RowPage>(outcome).rows;
  REQUIRE(rows.size() == 4);
  CHECK(rows[0].key.key == "k");
  CHECK(rows[0].value.empty());
  CHECK(rows[3].value == "a");
  CHECK(rows[3].version.value == 7);
}

TEST_CASE("a damaged row of a report hides neither the others nor itself") {
  jobs::SendOrder poll;
  poll.what = jobs::PollWorker{};
  const Json good_run = {"5c0e7a21d94b36f8.0.1.17", 2, "0b", 41};
  const Json good_end = {58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""};
  const auto decode = [&poll](const Json& runs, const Json& ends) {
    const Json body{
        {"clock_ms", 5}, {"running_count", runs}, {"finished", ends}};
    return std::get<jobs::WorkerReport>(
        kCodec.worker.decode_response(poll, ResponseOf(body)));
  };
  CHECK(decode(Json::array({good_run}), Json::array({good_end})).complete);
  const jobs::WorkerReport bad_run =
      decode({{"no task", 1, "", 1}, good_run}, Json::array({good_end}));
  CHECK_FALSE(bad_run.complete);
  CHECK(bad_run.runs.size() == 1);
  CHECK(bad_run.ends.size() == 1);
  const jobs::WorkerReport bad_end = decode(
      Json::array({good_run}), {{1e300, "x.0.0.0", 1, "done", ""}, good_end});
  CHECK_FALSE(bad_end.complete);
  CHECK(bad_end.ends.size() == 1);
}

}  // namespace
}  // namespace jasminespar::fleet
