#include "jasminespar/front/call_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace jasminespar::front {
namespace {

const ServiceId kService{"matching"};

configuration::Configuration MakeConfiguration() {
  configuration::Configuration configuration;
  configuration.accounts[{"school"}].id.value = "school";
  configuration::Service& service = configuration.services[kService];
  service.id = kService;
  service.max_body_bytes = 8;
  service.default_deadline = 7s;
  return configuration;
}

http::Request MakeRequest() {
  http::Request request;
  request.method = "POST";
  request.headers = {{"jasminespar-account", "school"},
                     {"Idempotency-Key", "k"}};
  request.body = "body";
  return request;
}

Reason ReasonOf(const std::variant<CallRequest, Refusal>& parsed) {
  REQUIRE(std::holds_alternative<Refusal>(parsed));
  CHECK(std::get<Refusal>(parsed).verdict == Verdict::kNotRun);
  return std::get<Refusal>(parsed).reason;
}

TEST_CASE("missing headers get the documented defaults") {
  const auto parsed =
      ParseCallRequest(MakeRequest(), kService, MakeConfiguration());
  const auto& call = std::get<CallRequest>(parsed);
  CHECK(call.idempotence == Idempotence::kIdempotent);
  CHECK(call.delivery == Delivery::kWait);
  CHECK(call.gang == GangShape{1, Adjacency::kAny});
  CHECK(call.time_left == Duration(7s));
  CHECK(call.id == IdOf(call.key));
}

TEST_CASE("each header is decoded") {
  http::Request request = MakeRequest();
  request.headers.push_back({"Jasminespar-Idempotent", "false"});
  request.headers.push_back({"Jasminespar-Accelerators", "16"});
  request.headers.push_back({"Jasminespar-Adjacency", "rack"});
  request.headers.push_back({"Jasminespar-Priority", "urgent"});
  request.headers.push_back({"Jasminespar-Deadline-Ms", "1500"});
  request.headers.push_back({"Prefer", "respond-async"});
  const auto parsed =
      ParseCallRequest(std::move(request), kService, MakeConfiguration());
  const auto& call = std::get<CallRequest>(parsed);
  CHECK(call.idempotence == Idempotence::kNonIdempotent);
  CHECK(call.delivery == Delivery::kCollect);
  CHECK(call.gang == GangShape{16, Adjacency::kRack});
  CHECK(call.priority == Priority::kUrgent);
  CHECK(call.time_left == Duration(1500ms));
}

TEST_CASE("each fault is refused with its own reason") {
  const auto configuration = MakeConfiguration();
  http::Request request = MakeRequest();
  CHECK(ReasonOf(ParseCallRequest(request, {"other"}, configuration)) ==
        Reason::kUnknownService);
  request.headers[0].value = "nobody";
  CHECK(ReasonOf(ParseCallRequest(request, kService, configuration)) ==
        Reason::kUnknownClientAccount);
  request = MakeRequest();
  request.headers.pop_back();
  CHECK(ReasonOf(ParseCallRequest(request, kService, configuration)) ==
        Reason::kMissingIdempotencyKey);
  request = MakeRequest();
  request.headers[1].value = std::string(kMaxKeyLength + 1, 'k');
  CHECK(ReasonOf(ParseCallRequest(request, kService, configuration)) ==
        Reason::kMalformedRequest);
  request = MakeRequest();
  request.body = "123456789";
  CHECK(ReasonOf(ParseCallRequest(request, kService, configuration)) ==
        Reason::kBodyTooLarge);
  for (const char* bad : {"0", "65", "-1", "1x", "99999999999999999999"}) {
    request = MakeRequest();
    request.headers.push_back({"Jasminespar-Accelerators", bad});
    CHECK(ReasonOf(ParseCallRequest(request, kService, configuration)) ==
          Reason::kMalformedRequest);
  }
}

TEST_CASE("a problem contains verdict, reason and retry delay") {
  const http::Response response = ToProblem(
      {Reason::kQueueFull, Verdict::kNotRun, 1500ms, "12 calls wait"});
  CHECK(response.status == 503);
  CHECK(http::HeaderOf(response.headers, "Retry-After") == "2");
  const auto json = nlohmann::json::parse(response.body);
  CHECK(json["verdict"] == "not_run");
  CHECK(json["reason"] == "queue_full");
  CHECK(json["retry_after_ms"] == 1500);
}

TEST_CASE("random headers are at worst refused") {
  std::mt19937_64 random(7);
  const auto configuration = MakeConfiguration();
  const std::vector<std::string> names{"Jasminespar-Account",
                                       "Idempotency-Key",
                                       "Jasminespar-Idempotent",
                                       "Jasminespar-Accelerators",
                                       "Jasminespar-Adjacency",
                                       "Jasminespar-Priority",
                                       "Jasminespar-Deadline-Ms",
                                       "Jasminespar-Run-Time-Ms",
                                       "Prefer"};
  for (int i = 0; i < 5'000; ++i) {
    http::Request request = MakeRequest();
    for (const std::string& name : names) {
      if (random() % 2 == 0) continue;
      std::string value(random() % 20, ' ');
      for (char& c : value) c = static_cast<char>(random());
      request.headers.insert(request.headers.begin(), {name, value});
    }
    auto parsed = ParseCallRequest(std::move(request), kService, configuration);
    if (auto* refusal = std::get_if<Refusal>(&parsed)) {
      CHECK(ToProblem(*refusal).status >= 400);
    }
  }
}

}  // namespace
}  // namespace jasminespar::front
