#include "jasminespar/daemon/endpoint_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;

namespace {

constexpr Duration kInitialBackoff = 50ms;
constexpr Duration kMaxBackoff = 1s;
constexpr int kMaxAnswerFetches = 4;

/// Added to the lease, as the worker's clock may run slower than the local one.
constexpr Duration kLeaseMargin = 1s;

cell::TaskRef TaskOf(const TaskEffect& effect) {
  return std::visit(
      Overloaded{[](const cell::OrderTask& order) { return order.order.task; },
                 [](const auto& other) { return other.task; }},
      effect);
}

}  // namespace

EndpointLink::EndpointLink(runtime::Duty& duty,
                           const EndpointLinkSettings& settings,
                           runtime::Channel<ToDecider>& decider,
                           runtime::Channel<ToPeer>& peer,
                           telemetry::Metrics& metrics)
    : context_(duty.context()),
      settings_(settings),
      decider_(decider),
      peer_(peer),
      metrics_(metrics) {}

void EndpointLink::Handle(ToEndpoint message) {
  std::visit([this](auto&& alternative) { On(std::move(alternative)); },
             std::move(message));
}

void EndpointLink::On(const BeginOwnership& message) {
  On(EndOwnership{message.topology.id});
  OwnedCell& owned = cells_[message.topology.id];
  owned.epoch = message.epoch;
  Subscribe(owned, message.topology);
}

void EndpointLink::On(const EndOwnership& message) {
  const auto found = cells_.find(message.cell);
  if (found == cells_.end()) return;
  for (auto& [worker, subscription] : found->second.workers) {
    subscription->active = false;
  }
  cells_.erase(found);
}

void EndpointLink::On(const CellTopologyUpdate& message) {
  const auto found = cells_.find(message.topology.id);
  if (found != cells_.end()) Subscribe(found->second, message.topology);
}

void EndpointLink::Subscribe(OwnedCell& owned,
                             const configuration::CellTopology& topology) {
  for (const configuration::Worker& worker : topology.workers) {
    if (owned.workers.contains(worker.id)) continue;
    auto subscription = std::make_shared<Subscription>();
    subscription->cell = {topology.id, owned.epoch};
    subscription->worker = worker.id;
    subscription->client = ClientOf(worker);
    subscription->last_contact = runtime::SteadyNow();
    owned.workers[worker.id] = subscription;
    asio::co_spawn(context_, ReadReports(subscription), asio::detached);
  }
}

std::shared_ptr<endpoint::WorkerClient> EndpointLink::ClientOf(
    const configuration::Worker& worker) {
  auto& client = clients_[worker.address];
  if (client == nullptr) {
    client = std::make_shared<endpoint::WorkerClient>(
        context_, worker.address, settings_.connections_per_endpoint,
        settings_.request_timeout);
  }
  return client;
}

void EndpointLink::On(const LeasesRequested& message) {
  for (const configuration::Worker& worker : message.topology.workers) {
    endpoint::CellRef cell{message.topology.id, message.epoch};
    asio::co_spawn(context_, RequestLease(std::move(cell), worker),
                   asio::detached);
  }
}

asio::awaitable<void> EndpointLink::RequestLease(endpoint::CellRef cell,
                                                 configuration::Worker worker) {
  const std::shared_ptr<endpoint::WorkerClient> client = ClientOf(worker);
  LeaseResult result{cell.cell, cell.epoch, worker.id, false, {}};
  try {
    co_await client->FetchReport(cell, 0, Duration::zero());
    result.granted = true;
  } catch (const endpoint::StaleEpochError& error) {
    result.highest = error.highest();
  } catch (const Error&) {
    co_return;  // Neither granted nor refused; the planner retries later.
  }
  peer_.Send(std::move(result));
}

asio::awaitable<void> EndpointLink::ReadReports(SubscriptionPtr subscription) {
  Duration backoff = kInitialBackoff;
  while (subscription->active) {
    const bool reported = co_await ReadReport(subscription);
    if (!subscription->active) co_return;
    if (reported) {
      backoff = kInitialBackoff;
      continue;
    }
    ReportIfLost(*subscription);
    co_await runtime::Sleep(context_, backoff);
    backoff = std::min(2 * backoff, kMaxBackoff);
  }
}

asio::awaitable<bool> EndpointLink::ReadReport(SubscriptionPtr subscription) {
  Subscription& state = *subscription;
  const TimePoint requested_at = runtime::SteadyNow();
  endpoint::Report report;
  std::optional<Reason> failure;
  try {
    report = co_await state.client->FetchReport(state.cell, state.after,
                                                settings_.report_wait);
  } catch (const Error& error) {
    failure = error.reason();
  }
  if (!state.active) co_return false;
  if (failure) {
    if (*failure == Reason::kStaleEpoch) NotifyFenced(state);
    co_return false;
  }
  // The lease was renewed at or after the request.
  state.last_contact = requested_at;
  state.lost = false;
  const bool full = state.after == 0;
  if (!full && (report.incarnation != state.restarted ||
                report.leaving != state.leaving)) {
    state.after = 0;  // Request a full report next.
    co_return true;
  }
  if (report.leaving && !state.leaving) {
    telemetry::LogEvent(telemetry::Event::kWorkerLeaving,
                        {{"cell", state.cell.cell.value},
                         {"worker", std::to_string(state.worker.value)}});
  }
  state.restarted = report.incarnation;
  state.leaving = report.leaving;
  state.after = report.change;
  std::vector<cell::ReportedTask> tasks;
  for (cell::ReportedTask& task : report.tasks) {
    if (task.cell == state.cell.cell) tasks.push_back(std::move(task));
  }
  if (full) {
    SendInput(state, cell::WorkerReported{state.worker, report.leaving, tasks});
  }
  for (cell::ReportedTask& task : tasks) {
    asio::co_spawn(context_, SendTaskUpdate(subscription, std::move(task)),
                   asio::detached);
  }
  co_return true;
}

asio::awaitable<void> EndpointLink::SendTaskUpdate(SubscriptionPtr subscription,
                                                   cell::ReportedTask task) {
  Subscription& state = *subscription;
  cell::TaskUpdate update{task.task, task.epoch, task.state, std::nullopt};
  const bool has_answer =
      task.rank == 0 && task.state == cell::TaskState::kSucceeded;
  for (int i = 0; has_answer && i < kMaxAnswerFetches; ++i) {
    bool unreachable = false;
    try {
      update.answer = co_await state.client->FetchAnswer(state.cell, task);
      break;
    } catch (const Error& error) {
      unreachable = error.reason() != Reason::kAnswerDamaged;
      if (!unreachable) metrics_.Count(telemetry::Counter::kDamagedAnswers);
      metrics_.CountRetry(error.reason());
    }
    if (!state.active) co_return;
    co_await runtime::Sleep(context_, kInitialBackoff * (1 << i));
    // An unreachable worker may still have the answer until it is lost itself;
    // such attempts do not count.
    if (unreachable && !state.lost) i = std::max(i - 1, -1);
  }
  if (state.active) SendInput(state, std::move(update));
}

void EndpointLink::ReportIfLost(Subscription& state) {
  const Duration silence = runtime::SteadyNow() - state.last_contact;
  if (state.lost || silence < settings_.worker_lease + kLeaseMargin) return;
  state.lost = true;
  state.after = 0;
  telemetry::LogEvent(telemetry::Event::kWorkerLost,
                      {{"cell", state.cell.cell.value},
                       {"worker", std::to_string(state.worker.value)}});
  SendInput(state, cell::WorkerLost{state.worker});
}

void EndpointLink::On(TaskRequested message) {
  const auto cell = cells_.find(message.cell);
  if (cell == cells_.end() || cell->second.epoch != message.epoch) return;
  const auto worker = cell->second.workers.find(TaskOf(message.effect).worker);
  if (worker == cell->second.workers.end()) {
    decider_.Send(CellInput{
        message.cell, message.epoch,
        cell::TaskOrderFailed{TaskOf(message.effect),
                              Reason::kWorkerUnreachable, Verdict::kNotRun}});
    return;
  }
  asio::co_spawn(context_,
                 PerformEffect(worker->second, std::move(message.effect)),
                 asio::detached);
}

asio::awaitable<void> EndpointLink::PerformEffect(SubscriptionPtr subscription,
                                                  TaskEffect effect) {
  Subscription& state = *subscription;
  const cell::TaskRef task = TaskOf(effect);
  endpoint::TaskReply reply;
  if (auto* order = std::get_if<cell::OrderTask>(&effect)) {
    reply = co_await state.client->SendOrder(std::move(order->order));
  } else if (std::holds_alternative<cell::ReleaseTask>(effect)) {
    reply = co_await state.client->Release(state.cell, task);
  } else if (const auto* stop = std::get_if<cell::StopTask>(&effect)) {
    reply = co_await state.client->Stop(state.cell, task, stop->mode);
  } else {
    co_await state.client->DeleteResult(state.cell, task);
    co_return;
  }
  if (state.active) NotifyReply(state, task, reply);
}

void EndpointLink::NotifyReply(const Subscription& subscription,
                               const cell::TaskRef& task,
                               const endpoint::TaskReply& reply) {
  std::visit(Overloaded{
                 [&](cell::TaskState state) {
                   // Counts as running until the report brings the answer.
                   if (state == cell::TaskState::kSucceeded) {
                     state = cell::TaskState::kRunning;
                   }
                   SendInput(subscription,
                             cell::TaskUpdate{task, subscription.cell.epoch,
                                              state, std::nullopt});
                 },
                 [&](const endpoint::OrderFailed& refused) {
                   if (refused.reason == Reason::kStaleEpoch) {
                     NotifyFenced(subscription);
                   }
                   SendInput(subscription,
                             cell::TaskOrderFailed{task, refused.reason,
                                                   refused.verdict});
                 },
             },
             reply);
}

void EndpointLink::SendInput(const Subscription& subscription,
                             cell::Input input) {
  decider_.Send(CellInput{subscription.cell.cell, subscription.cell.epoch,
                          std::move(input)});
}

void EndpointLink::NotifyFenced(const Subscription& subscription) {
  decider_.Send(CellLost{subscription.cell.cell, subscription.cell.epoch,
                         Reason::kStaleEpoch});
}

}  // namespace jasminespar::daemon
