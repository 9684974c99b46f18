// The formats of the users' platform: encoded requests, decoded responses, and
// the handling of hostile or foreign input.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "jasminespar/fleet/fleet_codec.h"

namespace jasminespar::fleet {
namespace {

using Json = nlohmann::json;

const site::SiteCodec kCodec = MakeFleetCodec();

jobs::SendOrder OrderOf(jobs::WorkerOrder what) {
  jobs::SendOrder order;
  order.worker.value = "i-1";
  order.lease_until.value = 486'000;
  order.what = std::move(what);
  return order;
}

http::Response ResponseOf(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_CASE("a start carries task, run, lease, epoch and checkpoint") {
  jobs::StartRun start;
  start.task = {{"5c0e7a21d94b36f8"}, 0, 1, 17};
  start.run.value = 2;
  start.payload = std::make_shared<const std::string>("text");
  start.checkpoint = "00000bb8";
  const http::Request request =
      kCodec.worker.encode_order(OrderOf(start), Epoch{7, 0});
  CHECK(request.target == "/jasminespar/run-start");
  CHECK(http::HeaderOf(request.headers, "Expect-Instance") == "i-1");
  const Json body = Json::parse(request.body);
  CHECK(body == Json{{"task", "5c0e7a21d94b36f8.0.1.17"},
                     {"run", 2},
                     {"spec", "text"},
                     {"until_ms", 486'000},
                     {"fence", 7},
                     {"checkpoint", "00000bb8"}});
}

TEST_CASE("a worker's report is decoded into runs and ends") {
  const jobs::SendOrder poll = OrderOf(jobs::PollWorker{});
  const jobs::OrderOutcome outcome = kCodec.worker.decode_response(
      poll,
      ResponseOf(200,
                 R"({"clock_ms":482113,"born":17,)"
                 R"("running_count":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,3]],)"
                 R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
  REQUIRE(std::holds_alternative<jobs::WorkerReport>(outcome));
  const auto& report = std::get<jobs::WorkerReport>(outcome);
  CHECK(report.clock.value == 482'113);
  CHECK(report.incarnation.value == 17);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.runs[0].task.index == 17);
  CHECK(report.runs[0].percent == 41);
  REQUIRE(report.ends.size() == 1);
  CHECK(report.ends[0].ending == jobs::RunEnding::kDone);
}

TEST_CASE("a report with as many ends as it can hold may not be the last") {
  const auto report_of = [](std::size_t ends, const Json& extra) {
    Json finished = Json::array();
    for (std::size_t i = 1; i <= ends; ++i) {
      finished.push_back({i, "5c0e7a21d94b36f8.0.1.9", i, "done", ""});
    }
    if (!extra.is_null()) finished.push_back(extra);
    const Json body{{"clock_ms", 1}, {"finished", finished}};
    return std::get<jobs::WorkerReport>(kCodec.worker.decode_response(
        OrderOf(jobs::PollWorker{}), ResponseOf(200, body.dump())));
  };
  CHECK_FALSE(report_of(0, nullptr).more_ends);
  CHECK_FALSE(report_of(499, nullptr).more_ends);
  CHECK(report_of(500, nullptr).more_ends);
  // A row that cannot be decoded was returned all the same.
  CHECK(report_of(499, "odd").more_ends);
  CHECK_FALSE(report_of(499, "odd").complete);
}

TEST_CASE("an answer that does not say what was done counts as none") {
  const jobs::SendOrder stop = OrderOf(jobs::StopRun{});
  for (const int status : {500, 502, 504}) {
    CHECK(std::holds_alternative<jobs::OrderUnanswered>(
        kCodec.worker.decode_response(stop, ResponseOf(status, ""))));
  }
  CHECK(std::holds_alternative<jobs::OrderUnanswered>(
      kCodec.worker.decode_response(stop, ResponseOf(200, "{"))));
  const auto refused = kCodec.worker.decode_response(
      stop, ResponseOf(409, R"({"reason":"fence"})"));
  REQUIRE(std::holds_alternative<jobs::OrderRefused>(refused));
  CHECK(std::get<jobs::OrderRefused>(refused).refusal ==
        jobs::OrderRefusal::kFenced);
}

TEST_CASE("rows keep any bytes through the table codec") {
  std::mt19937 random(7);
  for (std::size_t size = 0; size < 40; ++size) {
    std::string bytes(size, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    site::Transaction transaction;
    transaction.writes.push_back({{"t", "p", "k"}, bytes, {}});
    const Json sent = Json::parse(kCodec.table.encode(transaction).body);
    Json row = sent["upserts"][0];
    row["ver"] = 5;
    const Json page{{"rows", {row}}, {"has_more", false}, {"ver", 9}};
    const site::TableOutcome outcome =
        kCodec.table.decode(site::RowRange{}, ResponseOf(200, page.dump()));
    REQUIRE(std::holds_alternative<site::RowPage>(outcome));
    CHECK(std::get<site::RowPage>(outcome).rows.at(0).value == bytes);
  }
}

TEST_CASE("a feed with as many rows as it can hold may have been cut") {
  const auto page_of = [](std::size_t rows) {
    std::string text;
    for (std::size_t i = 0; i < rows; ++i) {
      text += (i == 0 ? "" : ",") +
              std::string(R"({"table":"servers","part":"","key":"w","ver":7})");
    }
    http::Response response;
    response.body = R"({"ver":7,"rows":[)" + text + "]}";
    return std::get<site::RowPage>(
        kCodec.table.decode(site::Watch{}, response));
  };
  CHECK_FALSE(page_of(0).has_more);
  CHECK_FALSE(page_of(499).has_more);
  CHECK(page_of(500).has_more);
}

TEST_CASE("only requests that certainly had no effect count as refused") {
  const site::TableRequest request = site::Transaction{};
  CHECK(std::holds_alternative<site::Refused>(
      kCodec.table.decode(request, ResponseOf(503, ""))));
  CHECK(std::holds_alternative<site::Refused>(
      kCodec.table.decode(request, ResponseOf(429, ""))));
  CHECK(std::holds_alternative<site::NoAnswer>(
      kCodec.table.decode(request, ResponseOf(500, ""))));
  CHECK(std::holds_alternative<site::NoAnswer>(
      kCodec.table.decode(request, ResponseOf(200, "no json"))));
}

TEST_CASE("hostile bodies of jobs are refused with a reason") {
  for (const char* body : {
           "",
           "[]",
           "{",
           R"({"steps":[]})",
           R"({"steps":[{"count":0}]})",
           R"({"steps":[{"count":-1}]})",
           R"({"steps":[{"count":1,"cpu":-5}]})",
           R"({"steps":[{"count":1,"after":[0]}]})",
           R"({"steps":[{"count":4000000000}]})",
           R"({"steps":[{"count":90000}],"times":90000})",
           R"({"steps":{"count":1}})",
           R"({"spec":7,"steps":[{"count":1}]})",
       }) {
    CAPTURE(body);
    CHECK(std::holds_alternative<site::DecodeError>(
        kCodec.caller.decode_job(body)));
  }
  const std::string deep(100'000, '[');
  CHECK(std::holds_alternative<site::DecodeError>(
      kCodec.caller.decode_job(deep)));
}

TEST_CASE("a job's body is decoded into steps of tasks") {
  const auto decoded = kCodec.caller.decode_job(
      R"({"spec":"x","times":2,"start_at_ms":5,"interval_ms":100,"steps":[)"
      R"({"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900,)"
      R"("affinity":"r1-3","gang":true,"same_rack":true},)"
      R"({"count":1,"after":[0],"checkpointing":true,"anti_affinity":1}]})");
  REQUIRE(std::holds_alternative<jobs::JobSpec>(decoded));
  const auto& spec = std::get<jobs::JobSpec>(decoded);
  CHECK(spec.occurrences == 2);
  CHECK(spec.interval == 100ms);
  REQUIRE(spec.steps.size() == 2);
  CHECK(spec.steps[0].need == jobs::Resources{500, 256, 2});
  CHECK(spec.steps[0].gang);
  CHECK(spec.steps[0].prefers_one_rack);
  CHECK(spec.steps[0].preferred_rack == "r1-3");
  CHECK(spec.steps[1].after == std::vector<std::uint32_t>{0});
  CHECK(spec.steps[1].max_tasks_per_worker == 1);
}

TEST_CASE("foreign worker entries are refused and a valid one is decoded") {
  site::Row row;
  row.key.key = "i-1";
  for (
      const char* value :
      {"", "{}", "7", R"({"service":"s","addr":"10.0.0.1:80"})",
       R"({"service":"s","addr":"10.0.0.1","state":"ready","capacity":{}})",
       R"({"service":"s","addr":"10.0.0.1:80","state":"odd","capacity":{}})",
       R"({"service":7,"addr":"10.0.0.1:80","state":"ready","capacity":{}})"}) {
    row.value = value;
    CAPTURE(value);
    CHECK(std::holds_alternative<site::DecodeError>(
        kCodec.operators.decode_worker(row)));
  }
  row.value =
      R"({"service":"s","addr":"10.0.0.1:80","state":"draining",)"
      R"("capacity":{"cpu":1,"mem_mb":2,"gpu":3},"labels":["a","r1-3"]})";
  const auto decoded = kCodec.operators.decode_worker(row);
  REQUIRE(std::holds_alternative<jobs::WorkerEntry>(decoded));
  CHECK(std::get<jobs::WorkerEntry>(decoded).leaving);
  CHECK(std::get<jobs::WorkerEntry>(decoded).rack == "r1-3");
}

TEST_CASE("the rows of emptied data centres are a range of their own") {
  const site::RowRange& range = kCodec.operators.evacuations;
  const http::Request request = kCodec.table.encode(range);
  CHECK(request.target ==
        "/jasminespar/rows-get?table=op&part=&from=evacuate%2F&to=evacuate0");
  const auto decode = kCodec.operators.decode_evacuation;
  const auto row_of = [](const std::string& key) {
    return site::Row{{"op", "", key}, "", {}, false};
  };
  CHECK(decode(row_of("evacuate/vn-central-a")).value == "vn-central-a");
  CHECK(decode(row_of("evacuate/a/b")).value == "a/b");
  // Rows that name no data centre, and whatever another writer leaves.
  for (const char* key : {"", "evacuate/", "evacuate", "config"}) {
    CHECK(decode(row_of(key)).value.empty());
  }
}

TEST_CASE("a worker's entry says for how long the worker is still slow") {
  const auto cold_for = [](const std::string& member) {
    site::Row row;
    row.key.key = "i-1";
    row.value = R"({"service":"s","addr":"10.0.0.1:80","state":"ready",)" +
                member + R"("capacity":{"cpu":1}})";
    return std::get<jobs::WorkerEntry>(kCodec.operators.decode_worker(row))
        .cold_for;
  };
  CHECK(cold_for(R"("cold_remaining_ms":2500,)") == 2500ms);
  CHECK(cold_for(R"("cold_remaining_ms":2500.7,)") == 2500ms);
  // Such an entry is of use without the time.
  CHECK(cold_for("") == 0ms);
  CHECK(cold_for(R"("cold_remaining_ms":"long",)") == 0ms);
  CHECK(cold_for(R"("cold_remaining_ms":-5,)") == 0ms);
  CHECK(cold_for(R"("cold_remaining_ms":1e99,)") == 1h);
}

TEST_CASE("a leaving worker says how much time is left") {
  const jobs::SendOrder poll = OrderOf(jobs::PollWorker{});
  const auto report_of = [&](const std::string& member) {
    return std::get<jobs::WorkerReport>(kCodec.worker.decode_response(
        poll, ResponseOf(200, R"({"clock_ms":1)" + member + "}")));
  };
  CHECK_FALSE(report_of("").leaving);
  CHECK_FALSE(report_of("").time_left);
  CHECK(report_of(R"(,"drain_remaining_ms":1800)").time_left == 1800ms);
  CHECK(report_of(R"(,"drain_remaining_ms":0)").time_left == 0ms);
  // It leaves all the same.
  CHECK(report_of(R"(,"drain_remaining_ms":"soon")").leaving);
  CHECK_FALSE(report_of(R"(,"drain_remaining_ms":"soon")").time_left);

  site::Row row;
  row.key.key = "i-1";
  const auto entry_of = [&](const std::string& state) {
    row.value = R"({"service":"s","addr":"10.0.0.1:80","capacity":{"cpu":1},)"
                R"("clock_ms":71,"drain_remaining_ms":1800.5,"state":")" +
                state + "\"}";
    return std::get<jobs::WorkerEntry>(kCodec.operators.decode_worker(row));
  };
  CHECK(entry_of("draining").time_left == 1800ms);
  CHECK(entry_of("draining").clock.value == 71);
  CHECK_FALSE(entry_of("ready").time_left);
}

TEST_CASE("decoding random bytes as any answer never throws") {
  std::mt19937 random(11);
  for (int i = 0; i < 2'000; ++i) {
    std::string body(random() % 64, '\0');
    for (char& byte : body) byte = "{}[]\":,0az\xff"[random() % 11];
    const http::Response response = ResponseOf(200, body);
    CHECK_NOTHROW(kCodec.table.decode(site::Watch{}, response));
    CHECK_NOTHROW(
        kCodec.worker.decode_response(OrderOf(jobs::PollWorker{}), response));
    CHECK_NOTHROW(kCodec.caller.decode_job(body));
    CHECK_NOTHROW(kCodec.operators.decode_configuration(body));
  }
}

TEST_CASE("a body of many levels is refused before it is decoded") {
  const auto job = [](const std::string& extra) {
    return R"({"steps":[{"count":1}],"more":)" + extra + "}";
  };
  const auto accepted = [](const std::string& body) {
    return std::holds_alternative<jobs::JobSpec>(
        kCodec.caller.decode_job(body));
  };
  CHECK(accepted(job(std::string(50, '[') + std::string(50, ']'))));
  CHECK_FALSE(accepted(job(std::string(70, '[') + std::string(70, ']'))));
  // Brackets inside a text open no level, also behind an escaped quote.
  CHECK(accepted(job('"' + std::string(100, '{') + '"')));
  CHECK(accepted(job(R"("\"[[)" + std::string(100, '[') + '"')));
}

}  // namespace
}  // namespace jasminespar::fleet
