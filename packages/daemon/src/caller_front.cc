#include "jasminespar/daemon/caller_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "jasminespar/codec/configuration_json.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/front/call_codec.h"
#include "jasminespar/front/status_codec.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using http::Response;

namespace {

constexpr Duration kStatusTimeout = 5s;
constexpr Duration kNoConfigurationRetryDelay = 500ms;
constexpr Duration kNoteTimeout = 15s;
constexpr int kOk = 200;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

Response MakeText(int status, std::string body, const char* type) {
  Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", type});
  response.body = std::move(body);
  return response;
}

Refusal MakeRefusal(Reason reason, Verdict verdict) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.verdict = verdict;
  return refusal;
}

std::uint64_t ParseRevision(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

CallerFront::CallerFront(runtime::Duty& duty, const FrontSettings& settings,
                         FrontOutputs outputs, telemetry::Metrics& metrics)
    : context_(duty.context()),
      settings_(settings),
      outputs_(outputs),
      metrics_(metrics),
      view_(std::make_shared<membership::View>()),
      cells_(std::make_shared<std::vector<configuration::CellTopology>>()),
      configuration_(std::make_shared<configuration::Configuration>()),
      calls_(context_, 0),
      notes_(context_, 0),
      metrics_replies_(context_, 0),
      random_(settings.random_seed),
      drain_timer_(context_),
      server_(
          context_, settings.listen.host, settings.listen.port, settings.limits,
          [this](http::Request request,
                 std::shared_ptr<http::ConnectionState> state) {
            return Serve(std::move(request), std::move(state));
          },
          [this](Reason reason) {
            return Refuse(MakeRefusal(reason, Verdict::kNotRun));
          }) {}

void CallerFront::Start() { server_.Start(); }

void CallerFront::Handle(ToFront message) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(message));
}

void CallerFront::On(CallReplied message) {
  if (!calls_.Complete(message.number, std::move(message.reply))) {
    metrics_.Count(telemetry::Counter::kStaleAnswers);
  }
}

void CallerFront::On(const ViewUpdate& message) {
  view_ = message.view;
  // Calls that wait for a replaced owner are retried with the new one.
  std::vector<std::uint64_t> superseded;
  calls_.ForEachWaiting([&](std::uint64_t number) {
    const auto found = pending_calls_.find(number);
    if (found == pending_calls_.end()) return;
    const membership::CellOwner* owner = view_->FindCell(found->second.cell);
    if (owner != nullptr && found->second.epoch < owner->epoch) {
      superseded.push_back(number);
    }
  });
  for (const std::uint64_t number : superseded) {
    calls_.Complete(number,
                    MakeRefusal(Reason::kStaleEpoch, Verdict::kMayHaveRun));
  }
}

void CallerFront::On(NoteResponse message) {
  const std::uint64_t number = message.number;
  notes_.Complete(number, std::move(message));
}

void CallerFront::On(MetricsRendered message) {
  metrics_replies_.Complete(message.number, std::move(message.text));
}

void CallerFront::On(const CellsUpdate& message) { cells_ = message.cells; }

void CallerFront::On(const ConfigurationUpdate& message) {
  configuration_ = message.configuration;
  configuration_known_ = true;
  metrics_.Set(telemetry::Gauge::kReady, ready() ? 1 : 0);
  metrics_.Set(telemetry::Gauge::kConfigurationRevision,
               static_cast<double>(configuration_->revision.value));
}

bool CallerFront::has_accepted_note() const {
  return configuration_known_ && configuration_->revision > Revision{};
}

void CallerFront::On(const DrainFront&) {
  draining_ = true;
  metrics_.Set(telemetry::Gauge::kReady, 0);
  drain_timer_.expires_after(settings_.drain_delay);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) server_.StopAccepting();
  });
}

Response CallerFront::Refuse(const Refusal& refusal) {
  metrics_.CountRefusal(refusal.reason);
  return front::ToProblem(refusal);
}

asio::awaitable<Response> CallerFront::Serve(
    http::Request request, std::shared_ptr<http::ConnectionState>) {
  ++requests_in_progress_;
  Response response;
  std::string failure;
  try {
    response = co_await Dispatch(std::move(request));
  } catch (const std::exception& error) {
    failure = error.what();
  }
  --requests_in_progress_;
  if (!failure.empty()) {
    telemetry::LogEvent(telemetry::Event::kInternalError,
                        {{"detail", failure}});
    Refusal refusal =
        MakeRefusal(Reason::kMalformedRequest, Verdict::kMayHaveRun);
    refusal.detail = failure;
    co_return Refuse(refusal);
  }
  co_return response;
}

asio::awaitable<Response> CallerFront::Dispatch(http::Request request) {
  const std::string path(http::PathOf(request.target));
  const auto segments = http::SegmentsOf(path);
  const bool v1 = !segments.empty() && segments[0] == "v1";
  if (v1 && segments.size() == 4 && segments[1] == "services" &&
      segments[3] == "calls" && request.method == "POST") {
    ServiceId service{std::string(segments[2])};
    co_return co_await ServeSubmit(std::move(request), std::move(service));
  }
  if (v1 && segments.size() == 3 && segments[1] == "calls") {
    const auto id = ParseCallId(segments[2]);
    if (!id) co_return Refuse(MakeRefusal(Reason::kNotFound, Verdict::kNotRun));
    co_return co_await ServeCall(std::move(request), *id);
  }
  if (v1 && segments.size() == 2 && segments[1] == "release-notes") {
    co_return co_await ServeNotes(std::move(request));
  }
  if (path == "/metrics") co_return co_await ServeMetrics();
  co_return ServeStatus(path);
}

Response CallerFront::ServeStatus(std::string_view path) const {
  if (path == "/healthz") return MakeText(kOk, "ok\n", "text/plain");
  if (path == "/readyz") {
    return MakeText(ready() ? kOk : kUnavailable,
                    ready() ? "ready\n" : "not ready\n", "text/plain");
  }
  const TimePoint now = runtime::SteadyNow();
  if (path == "/v1/configuration" && !configuration_known_) {
    return front::ToProblem(MakeRefusal(Reason::kRecovering, Verdict::kNotRun));
  }
  if (path == "/v1/configuration") {
    return MakeText(kOk, codec::EncodeConfiguration(*configuration_),
                    "application/json");
  }
  if (path == "/v1/instances") {
    return MakeText(kOk, front::EncodeInstances(*view_, now),
                    "application/json");
  }
  if (path == "/v1/cells") {
    return MakeText(kOk, front::EncodeCells(*view_, now), "application/json");
  }
  return front::ToProblem(MakeRefusal(Reason::kNotFound, Verdict::kNotRun));
}

asio::awaitable<Response> CallerFront::ServeMetrics() {
  const std::uint64_t number = metrics_replies_.Register();
  outputs_.telemetry.Send(MetricsRequested{number});
  auto text = co_await metrics_replies_.Wait(number, kStatusTimeout);
  if (!text) co_return MakeText(kUnavailable, "", "text/plain");
  co_return MakeText(kOk, std::move(*text), "text/plain; version=0.0.4");
}

asio::awaitable<Response> CallerFront::ServeNotes(http::Request request) {
  const std::uint64_t number = notes_.Register();
  if (request.method == "GET") {
    outputs_.platform.Send(NoteListRequested{
        number,
        Revision{ParseRevision(http::QueryOf(request.target, "after"))}});
  } else if (request.method == "POST") {
    const bool check = http::QueryOf(request.target, "check") == "true";
    outputs_.platform.Send(
        NoteSubmitted{number, std::move(request.body), check});
  } else {
    co_return MakeText(kMethodNotAllowed, "", "text/plain");
  }
  auto answer = co_await notes_.Wait(number, kNoteTimeout);
  if (!answer) {
    co_return Refuse(
        MakeRefusal(Reason::kStoreUnavailable, Verdict::kMayHaveRun));
  }
  if (answer->refused) metrics_.CountRefusal(*answer->refused);
  co_return MakeText(answer->http_status, std::move(answer->json),
                     "application/json");
}

asio::awaitable<Response> CallerFront::ServeSubmit(http::Request request,
                                                   ServiceId service) {
  if (!has_accepted_note()) {
    Refusal refusal = MakeRefusal(Reason::kRecovering, Verdict::kNotRun);
    refusal.retry_after = kNoConfigurationRetryDelay;
    refusal.detail = "no release note is in force here yet";
    co_return Refuse(refusal);
  }
  auto parsed =
      front::ParseCallRequest(std::move(request), service, *configuration_);
  if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
    co_return Refuse(*refusal);
  }
  if (outputs_.decider.congested() || outputs_.peer.congested()) {
    metrics_.Count(telemetry::Counter::kRingCongestions);
    co_return Refuse(MakeRefusal(Reason::kRingFull, Verdict::kNotRun));
  }
  CallRequest& call = std::get<CallRequest>(parsed);
  const CallId id = call.id;
  const auto home = membership::HomeCell(
      id, AllowedCells(&configuration_->services.at(service)));
  if (!home) {
    co_return Refuse(MakeRefusal(Reason::kNoOwner, Verdict::kNotRun));
  }
  RoutedCall routed;
  routed.cell = *home;
  routed.deadline = runtime::SteadyNow() + call.time_left;
  routed.op = protocol::SubmitOp{std::move(call)};
  const TimePoint start = runtime::SteadyNow();
  cell::CallReply reply = co_await RouteCall(std::move(routed));
  metrics_.Observe(telemetry::Timing::kCallDuration,
                   runtime::SteadyNow() - start);
  metrics_.Set(telemetry::Gauge::kConnections,
               static_cast<double>(server_.connections()));
  if (const auto* refusal = std::get_if<Refusal>(&reply)) {
    metrics_.CountRefusal(refusal->reason);
  } else if (std::holds_alternative<Answer>(reply)) {
    metrics_.Count(telemetry::Counter::kCallsAnswered);
  }
  co_return front::ToResponse(id, std::move(reply));
}

asio::awaitable<Response> CallerFront::ServeCall(http::Request request,
                                                 CallId id) {
  const ClientAccountId account{
      std::string(http::HeaderOf(request.headers, "Jasminespar-Account"))};
  cell::CallReply reply = MakeRefusal(Reason::kNotFound, Verdict::kMayHaveRun);
  for (const CellId& home : HomesOf(id)) {
    RoutedCall routed;
    routed.cell = home;
    routed.deadline = runtime::SteadyNow() + kStatusTimeout;
    if (request.method == "DELETE") {
      routed.op = protocol::CancelOp{id, account};
    } else if (request.method == "GET") {
      routed.op = protocol::LookUpOp{id, account};
    } else {
      co_return MakeText(kMethodNotAllowed, "", "text/plain");
    }
    reply = co_await RouteCall(std::move(routed));
    const auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal == nullptr || refusal->reason != Reason::kNotFound) break;
  }
  co_return front::ToResponse(id, std::move(reply));
}

}  // namespace jasminespar::daemon
