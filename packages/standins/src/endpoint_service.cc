#include "jasminespar/standins/endpoint_service.h"

#include <bit>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/endpoint_codec.h"
#include "jasminespar/standins/responses.h"

namespace jasminespar::standins {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr Duration kMaxReportWait = 60s;
constexpr Duration kDeadCloseDelay = 60s;

std::uint64_t QueryNumber(const http::Request& request, std::string_view name) {
  const std::string_view text = http::QueryOf(request.target, name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// @return the time from now on, for a timer.
Duration Until(TimePoint time) { return time - runtime::SteadyNow(); }

}  // namespace

EndpointService::EndpointService(asio::io_context& context,
                                 const EndpointSettings& settings,
                                 std::uint16_t port, Checkpoints& checkpoints)
    : context_(context),
      model_(settings, checkpoints),
      random_(settings.worker.value),
      timer_(context),
      server_(
          context, "127.0.0.1", port,
          http::ServerLimits{.max_connections = kMaxConnections},
          [this](http::Request request,
                 std::shared_ptr<http::ConnectionState>) {
            return Handle(std::move(request));
          },
          RejectionResponse) {}

asio::awaitable<http::Response> EndpointService::Handle(http::Request request) {
  const std::string_view path = http::PathOf(request.target);
  if (path.starts_with("/admin/")) co_return HandleAdmin(request);
  if (transport_.dead) {
    asio::steady_timer timer(context_, kDeadCloseDelay);
    co_await timer.async_wait(asio::use_awaitable);
    throw std::runtime_error("fault: worker is dead");
  }
  http::Response response;
  if (path == "/v1/report") {
    response = co_await Report(std::move(request));
  } else {
    response = HandleTask(request, runtime::SteadyNow());
    OnModelChanged();
  }
  const double drop = transport_.drop_answer_probability;
  if (transport_.dead || std::bernoulli_distribution(drop)(random_)) {
    throw std::runtime_error("fault: answer is dropped");
  }
  co_return response;
}

http::Response EndpointService::HandleTask(const http::Request& request,
                                           TimePoint now) {
  const std::string_view path = http::PathOf(request.target);
  const auto segments = http::SegmentsOf(path);
  const auto key = ParseTaskKey(path);
  const auto sender = ParseSender(request);
  if (!key || !sender || segments[0] != "v1" || segments[1] != "tasks") {
    return RejectionResponse(Reason::kMalformedRequest);
  }
  const std::string_view action = segments.size() > 4 ? segments[4] : "";
  if (request.method == "PUT" && action.empty()) {
    return Order(request, *key, *sender, now);
  }
  if (request.method == "POST" && action == "release") {
    return ToResponse(model_.Release(*key, *sender, now));
  }
  if (request.method == "POST" && action == "stop") {
    return Stop(request, *key, *sender, now);
  }
  if (request.method == "GET" && action == "answer") return AnswerOf(*key);
  if (request.method == "DELETE" && action.empty()) {
    model_.Forget(*key);
    return JsonResponse(200, json::object());
  }
  return RejectionResponse(Reason::kMalformedRequest);
}

http::Response EndpointService::Order(const http::Request& request,
                                      const TaskKey& key, const Sender& sender,
                                      TimePoint now) {
  return std::visit(
      Overloaded{[&](const cell::TaskOrder& order) {
                   return ToResponse(model_.Order(order, now));
                 },
                 [](Reason reason) {
                   return ToResponse(EndpointModel::StateOrReason(reason));
                 }},
      ParseOrder(request, key, sender, worker()));
}

http::Response EndpointService::Stop(const http::Request& request,
                                     const TaskKey& key, const Sender& sender,
                                     TimePoint now) {
  const auto mode =
      ParseName(cell::kStopModeNames, http::QueryOf(request.target, "mode"));
  if (!mode) return RejectionResponse(Reason::kMalformedRequest);
  return ToResponse(model_.Stop(key, *mode, sender, now));
}

http::Response EndpointService::AnswerOf(const TaskKey& key) const {
  return std::visit(
      Overloaded{
          [this](Answer answer) {
            http::Response response;
            response.headers.push_back(
                {"Jasminespar-Digest", FormatDigest(DigestOf(answer.body))});
            response.headers.push_back(
                {"Jasminespar-Status", std::to_string(answer.http_status)});
            response.body = std::move(answer.body);
            if (transport_.truncate_answers) {
              response.body.resize(response.body.size() / 2);
            }
            return response;
          },
          [](Reason reason) {
            return ToResponse(EndpointModel::StateOrReason(reason));
          }},
      model_.AnswerOf(key));
}

asio::awaitable<http::Response> EndpointService::Report(http::Request request) {
  const std::uint64_t after = QueryNumber(request, "after");
  const Duration wait = std::min<Duration>(
      std::chrono::milliseconds(QueryNumber(request, "wait_ms")),
      kMaxReportWait);
  const auto sender = ParseSender(request);
  if (!sender) co_return RejectionResponse(Reason::kMalformedRequest);
  const TimePoint now = runtime::SteadyNow();
  model_.Advance(now);
  if (const auto reason = model_.RenewLease(*sender, now)) {
    co_return ReportRefusalResponse(*reason, model_.HighestEpoch(sender->cell));
  }
  OnModelChanged();
  if (model_.change() == after) co_await WaitForChange(now + wait);
  const TaskReport report = model_.Report(after);
  json tasks = json::array();
  for (const cell::ReportedTask& task : report.tasks) {
    tasks.push_back(ToJson(task));
  }
  json body = json::object();
  body["worker"] = worker().value;
  body["change"] = report.change;
  body["leaving"] = model_.leaving();
  body["restarted"] = model_.restarts();
  body["tasks"] = std::move(tasks);
  co_return JsonResponse(200, body);
}

asio::awaitable<void> EndpointService::WaitForChange(TimePoint deadline) {
  auto timer = std::make_shared<asio::steady_timer>(context_, Until(deadline));
  waiting_reports_.insert(timer);
  boost::system::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  waiting_reports_.erase(timer);
}

void EndpointService::OnModelChanged() {
  if (model_.change() != notified_change_ ||
      model_.restarts() != notified_restarts_) {
    notified_change_ = model_.change();
    notified_restarts_ = model_.restarts();
    for (const auto& waiting : waiting_reports_) waiting->cancel();
  }
  timer_.cancel();
  const auto next = model_.NextEventTime();
  if (!next) return;
  timer_.expires_after(Until(*next));
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) return;
    model_.Advance(runtime::SteadyNow());
    OnModelChanged();
  });
}

http::Response EndpointService::HandleAdmin(const http::Request& request) {
  const std::string_view path = http::PathOf(request.target);
  const TimePoint now = runtime::SteadyNow();
  if (path == "/admin/runs") return JsonResponse(200, Runs());
  if (path == "/admin/restart") {
    model_.Restart(now);
    OnModelChanged();
    return JsonResponse(200, json::object());
  }
  if (path == "/admin/faults") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return RejectionResponse(Reason::kMalformedRequest);
    ApplyFaults(body, now);
    OnModelChanged();
    return JsonResponse(200, json::object());
  }
  return RejectionResponse(Reason::kNotFound);
}

void EndpointService::ApplyFaults(const json& body, TimePoint now) {
  EndpointFaults faults;
  faults.fail_everything = body.value("fail_everything", false);
  faults.slow_factor = body.value("slow_factor", 1.0);
  model_.SetFaults(faults);
  model_.SetLeaving(body.value("leaving", false));
  const bool was_dead = transport_.dead;
  transport_.dead = body.value("dead", false);
  transport_.truncate_answers = body.value("truncate_answers", false);
  transport_.drop_answer_probability =
      body.value("drop_answer_probability", 0.0);
  if (transport_.dead && !was_dead) model_.Restart(now);
}

json EndpointService::Runs() const {
  json calls = json::object();
  for (const RunRecord& run : model_.runs()) {
    json& call = calls[ToString(run.task.call)];
    if (call.is_null()) {
      call = {{"starts", 0}, {"finishes", 0}, {"running", 0}};
    }
    call["starts"] = call["starts"].get<int>() + 1;
    if (run.state == cell::TaskState::kSucceeded) {
      call["finishes"] = call["finishes"].get<int>() + 1;
    }
    if (run.state == cell::TaskState::kRunning) {
      call["running"] = call["running"].get<int>() + 1;
    }
    call["runs"].push_back(ToJson(run));
  }
  json orders = json::array();
  for (const OrderRecord& order : model_.orders()) {
    orders.push_back(
        {{"call", ToString(order.task.call)},
         {"attempt", order.task.attempt.value},
         {"accepted_ms", ToMilliseconds(order.accepted.time_since_epoch())}});
  }
  return {{"worker", worker().value},
          {"leaving", model_.leaving()},
          {"calls", std::move(calls)},
          {"orders", std::move(orders)}};
}

json EndpointService::Occupancy() const {
  return {{"worker", worker().value},
          {"accelerators", model_.settings().accelerators},
          {"occupied", std::popcount(model_.Occupied())}};
}

}  // namespace jasminespar::standins
