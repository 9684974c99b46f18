#include "jasminespar/standins/load.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::standins {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxConnectionsPerInstance = 3000;
constexpr Duration kRetryInterval = 100ms;
constexpr Duration kRecheckTimeout = 10s;
constexpr Duration kPollInterval = 20ms;

http::Request MakeRequest(const PlannedCall& call) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/services/" + call.key.service.value + "/calls";
  const bool idempotent = call.idempotence == Idempotence::kIdempotent;
  request.headers = {
      {"Jasminespar-Account", call.key.account.value},
      {"Idempotency-Key", call.key.idempotency_key},
      {"Jasminespar-Idempotent", idempotent ? "true" : "false"},
      {"Jasminespar-Accelerators", std::to_string(call.gang.accelerators)},
      {"Jasminespar-Adjacency",
       std::string(RowOf(kAdjacencyNames, call.gang.adjacency).name)},
      {"Jasminespar-Priority",
       std::string(RowOf(kPriorityNames, call.priority).name)},
      {"Jasminespar-Deadline-Ms",
       std::to_string(ToMilliseconds(call.deadline))},
  };
  request.body = call.body;
  return request;
}

}  // namespace

Load::Load(const LoadSettings& settings, std::vector<PlannedCall> calls)
    : settings_(settings), random_(settings.seed), duty_("load") {
  for (PlannedCall& call : calls) {
    CallRecord record;
    record.id = IdOf(call.key);
    record.plan = std::move(call);
    records_.push_back(std::move(record));
  }
  for (const std::uint16_t port : settings.caller_ports) {
    clients_.push_back(std::make_unique<http::Client>(
        duty_.context(), "127.0.0.1", port, kMaxConnectionsPerInstance));
  }
}

Load::~Load() { duty_.Stop(); }

void Load::Start() {
  start_ = runtime::SteadyNow();
  for (CallRecord& record : records_) {
    asio::co_spawn(duty_.context(), RunCall(record), asio::detached);
  }
  duty_.Start();
}

LoadProgress Load::progress() const {
  return {ended_.load(), answered_.load(), records_.size()};
}

std::vector<CallRecord> Load::Finish(std::size_t recheck_count) {
  while (ended_.load() < records_.size()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  std::size_t started = 0;
  for (CallRecord& record : records_) {
    if (started == recheck_count) break;
    if (record.outcome != CallerOutcome::kAnswered) continue;
    ++started;
    asio::co_spawn(duty_.context(), Recheck(record), asio::detached);
  }
  while (rechecked_.load() < started) {
    std::this_thread::sleep_for(kPollInterval);
  }
  duty_.Stop();
  return std::move(records_);
}

asio::awaitable<void> Load::Sleep(Duration time) {
  asio::steady_timer timer(duty_.context(), time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Load::RunCall(CallRecord& record) {
  co_await Sleep(start_ + record.plan.arrival - runtime::SteadyNow());
  const TimePoint give_up =
      start_ + record.plan.arrival + settings_.call_timeout;
  while (true) {
    const RetryDelay delay = co_await SendOnce(record, give_up);
    if (!delay) co_return;
    if (runtime::SteadyNow() + *delay >= give_up) break;
    co_await Sleep(*delay);
  }
  const bool refused =
      record.sends > 0 && record.not_run > 0 && record.unanswered == 0;
  EndCall(record, refused ? CallerOutcome::kRefused : CallerOutcome::kNone);
}

asio::awaitable<Load::RetryDelay> Load::SendOnce(CallRecord& record,
                                                 TimePoint give_up) {
  const Duration left = give_up - runtime::SteadyNow();
  const Duration timeout = std::min(left, settings_.send_timeout);
  http::Response response;
  const bool received = co_await TrySend(record, timeout, response);
  if (!received) co_return RetryDelay(kRetryInterval);
  co_return HandleResponse(record, response);
}

asio::awaitable<bool> Load::TrySend(CallRecord& record, Duration timeout,
                                    http::Response& response) {
  std::uniform_int_distribution<std::size_t> any(0, clients_.size() - 1);
  http::Client& client = *clients_[any(random_)];
  http::Request request = MakeRequest(record.plan);
  try {
    response = co_await client.Send(std::move(request), timeout);
  } catch (const Error& error) {
    record.reason = error.what();
    if (error.verdict() != Verdict::kNotRun) {
      ++record.sends;
      ++record.unanswered;
    }
    co_return false;
  }
  ++record.sends;
  co_return true;
}

Load::RetryDelay Load::HandleResponse(CallRecord& record,
                                      const http::Response& response) {
  if (response.status == 200) {
    const bool own =
        response.body == MakeEndpointAnswer(record.id, record.plan.body);
    if (!own) record.reason = "body: " + response.body.substr(0, 80);
    EndCall(record,
            own ? CallerOutcome::kAnswered : CallerOutcome::kWrongAnswer);
    return std::nullopt;
  }
  const json problem = json::parse(response.body, nullptr, false);
  const auto verdict =
      problem.is_object()
          ? ParseName(kVerdictNames, problem.value("verdict", std::string()))
          : std::nullopt;
  if (!verdict) {
    record.reason = "status " + std::to_string(response.status) + " " +
                    response.body.substr(0, 80);
    EndCall(record, CallerOutcome::kWrongAnswer);
    return std::nullopt;
  }
  record.reason = problem.value("reason", std::string("unnamed"));
  record.verdict = *verdict;
  const Duration retry_after =
      std::chrono::milliseconds(problem.value("retry_after_ms", 0));
  if (*verdict == Verdict::kNotRun) ++record.not_run;
  if (*verdict == Verdict::kNotRun && retry_after > Duration{}) {
    return std::max(retry_after, kRetryInterval);
  }
  EndCall(record, CallerOutcome::kRefused);
  return std::nullopt;
}

void Load::EndCall(CallRecord& record, CallerOutcome outcome) {
  record.outcome = outcome;
  record.completion = runtime::SteadyNow() - start_ - record.plan.arrival;
  if (outcome == CallerOutcome::kAnswered) answered_.fetch_add(1);
  ended_.fetch_add(1);
}

asio::awaitable<void> Load::Recheck(CallRecord& record) {
  http::Response response;
  const bool received = co_await TrySend(record, kRecheckTimeout, response);
  if (received && response.status == 200) {
    record.outcome_changed =
        response.body != MakeEndpointAnswer(record.id, record.plan.body);
  } else if (received) {
    // Verdict not_run contradicts the answer that the caller got before.
    record.outcome_changed =
        response.body.find("\"not_run\"") != std::string::npos &&
        response.status < 500;
  }
  rechecked_.fetch_add(1);
}

}  // namespace jasminespar::standins
