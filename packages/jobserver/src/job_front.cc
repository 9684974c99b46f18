#include "jasminespar/jobserver/job_front.h"

#include <algorithm>
#include <array>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_records.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using telemetry::Counter;
using telemetry::Event;
using telemetry::Timing;

namespace {

constexpr int kOk = 200;

/// Assumed for a caller that does not say how long it waits.
constexpr Duration kDefaultCallerTimeout = 3s;

/// For the answer to reach the caller before the caller's timeout.
constexpr Duration kAnswerMargin = 150ms;

/// A write whose outcome is still unknown after this time is abandoned, so that
/// the caller can try another instance.
constexpr Duration kMaxWriteTimeout = 2500ms;

/// Short, so that a caller whose write the table refuses still has time to
/// retry.
constexpr Duration kRefusedTimeout = 150ms;

/// The store link ends a write at its timeout; this only bounds the wait for
/// its message.
constexpr Duration kReplyMargin = 50ms;

http::Response JsonResponse(std::string body) {
  http::Response response;
  response.status = kOk;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

/// @return why a write was not carried out; kOutcomeUnknown when it may have
///     been.
Reason ReasonOf(const std::optional<site::TableOutcome>& outcome) {
  if (!outcome) return Reason::kOutcomeUnknown;
  if (std::holds_alternative<site::Refused>(*outcome)) {
    return Reason::kStoreUnavailable;
  }
  if (std::holds_alternative<site::Malformed>(*outcome)) {
    return Reason::kMalformedRequest;
  }
  return Reason::kOutcomeUnknown;
}

}  // namespace

JobFront::JobFront(runtime::Duty& duty, const JobFrontSettings& settings,
                   const site::SiteCodec& codec, const Rings& rings,
                   telemetry::Metrics& metrics)
    : codec_(codec),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      default_max_body_bytes_(settings.limits.max_body_bytes),
      server_(
          duty.context(), settings.callers.host, settings.callers.port,
          settings.limits,
          [this](http::Request request,
                 const std::shared_ptr<http::ConnectionState>&) {
            return Serve(std::move(request));
          },
          [this](Reason reason) { return RejectUnread(reason); }),
      readiness_server_(
          duty.context(), settings.readiness.host, settings.readiness.port,
          settings.probe_limits,
          [this](http::Request request,
                 const std::shared_ptr<http::ConnectionState>&) {
            return ServeReadiness(std::move(request));
          },
          [this](Reason reason) { return RejectUnread(reason); }),
      writes_(duty.context(), 0),
      reads_(duty.context(), 0) {}

void JobFront::Start() {
  server_.Start();
  readiness_server_.Start();
}

void JobFront::Handle(ToFront message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void JobFront::On(const ConfigurationUpdate& update) {
  configuration_ = update.configuration;
  const std::size_t limit = configuration_->content().max_body_bytes;
  server_.SetMaxBodyBytes(limit > 0 ? limit : default_max_body_bytes_);
}

void JobFront::On(const StatusUpdate& update) {
  if (unsettled_.Settle(update.status.job)) PublishUnsettled();
  jobs::JobStatus& known = statuses_[update.status.job];
  // A job's phase never decreases, but its rows in two partitions may be read
  // in any order.
  if (known.phase <= update.status.phase) known = update.status;
}

void JobFront::On(const StatusDeleted& deleted) {
  statuses_.erase(deleted.job);
  cancelled_.erase(deleted.job);
}

void JobFront::On(const CancellationFound& found) {
  cancelled_.insert(found.job);
}

void JobFront::On(const CancellationDeleted& deleted) {
  // A known job's status is deleted later, and with it this.
  if (!HasStatus(deleted.job)) cancelled_.erase(deleted.job);
}

void JobFront::On(const StatusesLoaded&) { statuses_loaded_ = true; }

void JobFront::On(WriteCompleted& completed) {
  writes_.Complete(completed.number, std::move(completed.outcome));
}

void JobFront::On(ReadCompleted& completed) {
  reads_.Complete(completed.number, std::move(completed.outcome));
}

void JobFront::On(const TableReachable& table) {
  table_reachable_ = table.reachable;
  retry_advice_.HandleReachable(table.reachable, runtime::SteadyNow());
  // Closing makes callers reconnect, and the balancer directs new connections
  // to other instances.
  server_.CloseAfterResponses(!table_reachable_ || draining_);
}

void JobFront::On(const PeerUnsettledSubmissions& unsettled) {
  unsettled_.HandlePeerReport(unsettled.peer, unsettled.jobs,
                              runtime::SteadyNow());
}

void JobFront::PublishUnsettled() {
  rings_.peers.Send(
      OwnUnsettledSubmissions{unsettled_.OwnSubmissions(runtime::SteadyNow())});
}

void JobFront::On(const DrainFront&) {
  draining_ = true;
  server_.CloseAfterResponses(true);
}

JobFront::AsyncResponse JobFront::ServeReadiness(http::Request request) {
  const bool ready = configuration_ != nullptr && statuses_loaded_ &&
                     table_reachable_ && !draining_;
  http::Response response;
  response.status = ready ? kOk : HttpStatusOf(Reason::kNoConfiguration);
  if (http::PathOf(request.target) != codec_.caller.readiness_path) {
    response.status = HttpStatusOf(Reason::kNotFound);
  }
  co_return response;
}

JobFront::AsyncResponse JobFront::Serve(http::Request request) {
  const TimePoint now = runtime::SteadyNow();
  const jobs::JobId none;
  if (configuration_ == nullptr) {
    co_return Refuse(Reason::kNoConfiguration, none, request.target, now);
  }
  const std::string path(http::PathOf(request.target));
  const std::string host(http::HeaderOf(request.headers, "Host"));
  const jobs::QueueConfiguration* queue =
      configuration_->FindQueueByRoute(host, path);
  if (queue == nullptr) {
    co_return Refuse(Reason::kUnknownQueue, none, path, now);
  }
  const jobs::AccountConfiguration* account =
      configuration_->FindAccountByKey(codec_.caller.api_key_of(request));
  if (account == nullptr && !queue->is_public) {
    co_return Refuse(Reason::kUnknownKey, none, path, now);
  }
  const std::size_t limit = configuration_->content().max_body_bytes;
  if (limit > 0 && request.body.size() > limit) {
    co_return Refuse(Reason::kBodyTooLarge, none, path, now);
  }
  Call call;
  call.queue = *queue;
  call.revision = configuration_->version();
  if (account != nullptr) call.account = account->name;
  call.arrived = now;
  call.deadline =
      now + codec_.caller.timeout_of(request).value_or(kDefaultCallerTimeout) -
      kAnswerMargin;
  call.request = std::move(request);
  const site::CallerRequest wanted = codec_.caller.decode_request(
      call.request.method, std::string_view(path).substr(queue->prefix.size()));
  if (const auto* submit = std::get_if<site::SubmitJob>(&wanted)) {
    co_return co_await Submit(std::move(call), submit->id);
  }
  if (const auto* show = std::get_if<site::ShowJob>(&wanted)) {
    co_return co_await Show(std::move(call), show->id);
  }
  if (const auto* cancel = std::get_if<site::CancelJob>(&wanted)) {
    co_return co_await Cancel(std::move(call), cancel->id);
  }
  if (std::holds_alternative<site::CountPending>(wanted)) {
    co_return CountPending(call);
  }
  co_return Refuse(Reason::kNotFound, none, path, now);
}

JobFront::AsyncResponse JobFront::Submit(Call call, jobs::JobId id) {
  if (HasStatus(id)) {
    co_return JsonResponse(codec_.caller.encode_phase(PhaseOf(id)));
  }
  auto decoded = codec_.caller.decode_job(call.request.body);
  if (const auto* error = std::get_if<site::DecodeError>(&decoded)) {
    co_return Refuse(Reason::kMalformedRequest, id, error->message,
                     call.arrived);
  }
  jobs::AcceptedJob job{
      id,
      call.queue.name,
      call.account,
      {static_cast<std::uint64_t>(runtime::WallMilliseconds())},
      std::move(std::get<jobs::JobSpec>(decoded)),
      {call.revision, call.queue}};
  const jobs::JobStatus status{id, job.queue, jobs::JobPhase::kQueued,
                               job.accepted_at, job.spec.occurrences > 0};
  site::Transaction transaction;
  const site::RowKey job_key = JobRowKey(kJobTable, id);
  transaction.conditions.push_back({job_key, {}});
  transaction.writes.push_back({job_key, protocol::Encode(job), {}});
  transaction.writes.push_back(
      {JobRowKey(kStatusTable, id), protocol::Encode(status), {}});
  const WriteOutcome outcome =
      co_await Write(std::move(transaction), call.deadline);
  // On a conflict, an earlier attempt has stored the job.
  const bool stored =
      outcome && (std::holds_alternative<site::Committed>(*outcome) ||
                  std::holds_alternative<site::Conflict>(*outcome));
  if (stored) {
    if (unsettled_.Settle(id)) PublishUnsettled();
    statuses_.try_emplace(id, status);
    const Duration took = runtime::SteadyNow() - call.arrived;
    metrics_.Count(Counter::kCallsAccepted);
    metrics_.Observe(Timing::kCallDuration, took);
    log_.Log(Event::kJobAccepted, {{"id", id.value},
                                   {"queue", call.queue.name.value},
                                   {"account", call.account.value},
                                   {"version", configuration_->version().value},
                                   {"took_ms", ToMilliseconds(took)}});
    co_return JsonResponse(codec_.caller.encode_phase(PhaseOf(id)));
  }
  const TimePoint now = runtime::SteadyNow();
  const bool may_be_stored = unsettled_.MayBeStored(id, now);
  const Reason reason = ReasonOf(outcome);
  if (reason == Reason::kOutcomeUnknown) {
    unsettled_.Add(id, now);
    PublishUnsettled();
  }
  if (may_be_stored) {
    // An earlier attempt may have stored the job.
    co_return Refuse(Reason::kOutcomeUnknown, id, "tried before", call.arrived);
  }
  co_return Refuse(reason, id, "submit", call.arrived);
}

asio::awaitable<JobFront::WriteOutcome> JobFront::Write(
    site::Transaction transaction, TimePoint deadline) {
  WriteRows write;
  write.transaction = std::move(transaction);
  write.timeout = std::min(kMaxWriteTimeout, deadline - runtime::SteadyNow());
  write.refused_timeout = kRefusedTimeout;
  write.number = writes_.Register();
  const std::uint64_t number = write.number;
  const Duration timeout = write.timeout + kReplyMargin;
  rings_.store.Send(std::move(write));
  co_return co_await writes_.Wait(number, timeout);
}

asio::awaitable<std::optional<bool>> JobFront::FindStatus(jobs::JobId id,
                                                          TimePoint deadline) {
  // The job's partition has a row from acceptance on; the row in the owner's
  // partition is newer.
  const std::array<site::RowKey, 2> keys{CellRowKey(kStatusTable, id.value),
                                         JobRowKey(kStatusTable, id)};
  for (const site::RowKey& key : keys) {
    if (HasStatus(id)) co_return true;
    const std::uint64_t number = reads_.Register();
    rings_.store.Send(ReadRow{number, key});
    const std::optional<site::TableOutcome> outcome = co_await reads_.Wait(
        number, std::max(Duration{}, deadline - runtime::SteadyNow()));
    const auto* page =
        outcome ? std::get_if<site::RowPage>(&*outcome) : nullptr;
    if (page == nullptr) co_return std::nullopt;
    if (page->rows.empty()) continue;
    try {
      On(StatusUpdate{protocol::DecodeJobStatus(page->rows.front().value)});
    } catch (const Error& error) {
      log_.Log(Event::kRowUnreadable, {{"table", kStatusTable},
                                       {"key", id.value},
                                       {"fault", error.what()}});
      co_return std::nullopt;
    }
  }
  co_return HasStatus(id);
}

JobFront::AsyncResponse JobFront::Show(Call call, jobs::JobId id) {
  const std::optional<bool> found = co_await FindStatus(id, call.deadline);
  if (!found) {
    co_return Refuse(Reason::kOutcomeUnknown, id,
                     "status row could not be read", call.arrived);
  }
  if (!*found) {
    co_return Refuse(Reason::kUnknownJob, id, "show", call.arrived);
  }
  co_return JsonResponse(codec_.caller.encode_phase(PhaseOf(id)));
}

JobFront::AsyncResponse JobFront::Cancel(Call call, jobs::JobId id) {
  const std::optional<bool> found = co_await FindStatus(id, call.deadline);
  if (!found) {
    co_return Refuse(Reason::kOutcomeUnknown, id,
                     "status row could not be read", call.arrived);
  }
  if (*found && jobs::IsFinal(PhaseOf(id))) co_return http::Response{};
  // Stored for an unknown job too: its acceptance may be under way at another
  // instance. The owner deletes the row if the job never comes.
  site::Transaction transaction;
  transaction.writes.push_back({CancellationKey(id), "", {}});
  const WriteOutcome outcome =
      co_await Write(std::move(transaction), call.deadline);
  if (outcome && std::holds_alternative<site::Committed>(*outcome)) {
    cancelled_.insert(id);
    metrics_.Count(Counter::kCallsCancelled);
    log_.Log(
        Event::kCancellationAccepted,
        {{"id", id.value},
         {"took_ms", ToMilliseconds(runtime::SteadyNow() - call.arrived)}});
    if (!HasStatus(id)) {
      co_return Refuse(Reason::kUnknownJob, id, "cancel", call.arrived);
    }
    co_return JsonResponse(codec_.caller.encode_phase(PhaseOf(id)));
  }
  co_return Refuse(ReasonOf(outcome), id, "cancel", call.arrived);
}

http::Response JobFront::CountPending(const Call& call) {
  const auto pending = static_cast<std::size_t>(
      std::count_if(statuses_.begin(), statuses_.end(), [&](const auto& entry) {
        const jobs::JobStatus& status = entry.second;
        return status.queue == call.queue.name && !status.timed &&
               PhaseOf(status.job) == jobs::JobPhase::kQueued;
      }));
  return JsonResponse(codec_.caller.encode_pending(pending));
}

jobs::JobPhase JobFront::PhaseOf(const jobs::JobId& id) const {
  const jobs::JobPhase phase = statuses_.at(id).phase;
  if (jobs::IsFinal(phase) || !cancelled_.contains(id)) return phase;
  return jobs::JobPhase::kCancelled;
}

http::Response JobFront::RejectUnread(Reason reason) {
  metrics_.CountRefusal(reason);
  return {HttpStatusOf(reason), {}, std::string(NameOf(reason)), {}};
}

http::Response JobFront::Refuse(Reason reason, const jobs::JobId& id,
                                const std::string& detail, TimePoint arrived) {
  metrics_.CountRefusal(reason);
  const TimePoint now = runtime::SteadyNow();
  const std::uint64_t version =
      configuration_ == nullptr ? 0 : configuration_->version().value;
  log_.Log(reason == Reason::kOutcomeUnknown ? Event::kJobAnswerUnknown
                                             : Event::kJobRefused,
           {{"id", id.value},
            {"reason", NameOf(reason)},
            {"detail", detail},
            {"version", version},
            {"took_ms", ToMilliseconds(now - arrived)}});
  http::Response response;
  response.status = HttpStatusOf(reason);
  response.headers.push_back({"Content-Type", "application/json"});
  if (reason == Reason::kStoreUnavailable ||
      reason == Reason::kNoConfiguration) {
    const auto wait = retry_advice_.WaitOf(id, now);
    response.headers.push_back({"Retry-After", std::to_string(wait.count())});
  }
  response.body = "{\"reason\":\"" + std::string(NameOf(reason)) + "\"}";
  return response;
}

}  // namespace jasminespar::jobserver
