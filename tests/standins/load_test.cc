#include "jasminespar/standins/load.h"

#include <catch2/catch.hpp>
#include <map>

#include "jasminespar/http/server.h"
#include "jasminespar/standins/responses.h"

namespace jasminespar::standins {
namespace {

namespace asio = boost::asio;

/// Front end that refuses the first request of each key and answers the others.
struct FakeFront {
  FakeFront()
      : duty("front"),
        server(
            duty.context(), "127.0.0.1", 0, http::ServerLimits{},
            [this](http::Request request,
                   std::shared_ptr<http::ConnectionState>) {
              return Answer(std::move(request));
            },
            RejectionResponse) {
    server.Start();
    duty.Start();
  }
  ~FakeFront() { duty.Stop(); }

  asio::awaitable<http::Response> Answer(http::Request request) {
    const std::string key(http::HeaderOf(request.headers, "Idempotency-Key"));
    CallKey call;
    call.account.value = http::HeaderOf(request.headers, "Jasminespar-Account");
    call.service.value = http::SegmentsOf(request.target)[2];
    call.idempotency_key = key;
    if (++sends[key] == 1) {
      co_return JsonResponse(503, refusal);
    }
    http::Response response;
    response.body = MakeEndpointAnswer(IdOf(call), request.body);
    if (truncate) response.body.pop_back();
    co_return response;
  }

  runtime::Duty duty;
  http::Server server;
  std::map<std::string, int> sends;
  nlohmann::json refusal = {
      {"reason", "queue_full"}, {"verdict", "not_run"}, {"retry_after_ms", 1}};
  bool truncate = false;
};

std::vector<CallRecord> RunLoad(const FakeFront& front, std::size_t recheck) {
  MixSettings mix;
  mix.calls = 20;
  mix.arrival_period = 20ms;
  LoadSettings settings;
  settings.caller_ports = {front.server.port()};
  Load load(settings, PlanMix(mix));
  load.Start();
  return load.Finish(recheck);
}

TEST_CASE("callers retry refusals with not_run and check their answers") {
  const FakeFront front;
  for (const CallRecord& record : RunLoad(front, 5)) {
    CHECK(record.outcome == CallerOutcome::kAnswered);
    CHECK(record.not_run == 1);
    CHECK_FALSE(record.outcome_changed);
  }
}

TEST_CASE("callers do not retry a call that may have run") {
  FakeFront front;
  front.refusal["verdict"] = "may_have_run";
  for (const CallRecord& record : RunLoad(front, 0)) {
    CHECK(record.outcome == CallerOutcome::kRefused);
    CHECK(record.sends == 1);
  }
}

TEST_CASE("callers detect an answer that is cut short") {
  FakeFront front;
  front.truncate = true;
  for (const CallRecord& record : RunLoad(front, 0)) {
    CHECK(record.outcome == CallerOutcome::kWrongAnswer);
  }
}

}  // namespace
}  // namespace jasminespar::standins
