/// @file
/// Call routing of caller_front: sends a call to the owner of its home cell,
/// and retries with the next owner until it has a reply or its deadline has
/// passed.

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "jasminespar/daemon/caller_front.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;

namespace {

constexpr Duration kInitialBackoff = 20ms;
constexpr Duration kMaxBackoff = 500ms;

/// For the transfer of the reply, as the cell replies by the deadline.
constexpr Duration kReplyMargin = 500ms;

/// @return whether the reason concerns the route to the cell and not the call,
///     so that another owner may accept it. A retry under the same key is
///     always safe, as the cell joins it to the call that it already has.
bool IsRoutingFailure(Reason reason) {
  switch (reason) {
    case Reason::kNoOwner:
    case Reason::kNotOwner:
    case Reason::kOwnerUnreachable:
    case Reason::kRecovering:
    case Reason::kStaleEpoch:
    case Reason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

Refusal MakeRefusal(Reason reason, Verdict verdict) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.verdict = verdict;
  return refusal;
}

}  // namespace

asio::awaitable<cell::CallReply> CallerFront::RouteCall(RoutedCall first) {
  auto routed = std::make_shared<RoutedCall>(std::move(first));
  Duration backoff = kInitialBackoff;
  while (true) {
    cell::CallReply reply = co_await RequestReply(routed);
    auto* refusal = std::get_if<Refusal>(&reply);
    if (refusal == nullptr) co_return reply;
    routed->worst_verdict =
        CombineVerdicts(routed->worst_verdict, refusal->verdict);
    refusal->verdict = routed->worst_verdict;
    const Duration delay = AddJitter(backoff);
    if (!IsRoutingFailure(refusal->reason) ||
        runtime::SteadyNow() + delay >= routed->deadline) {
      co_return reply;
    }
    metrics_.CountRetry(refusal->reason);
    RedirectToLocalCell(*routed);
    co_await runtime::Sleep(context_, delay);
    backoff = std::min(2 * backoff, kMaxBackoff);
  }
}

// A partitioned data centre serves idempotent calls on its own workers. The
// home cell may run the call as well, which idempotence allows.
void CallerFront::RedirectToLocalCell(RoutedCall& routed) const {
  const auto* submit = std::get_if<protocol::SubmitOp>(&routed.op);
  if (submit == nullptr ||
      submit->request.idempotence != Idempotence::kIdempotent ||
      submit->request.delivery != Delivery::kWait ||
      configuration::DataCentreOf(routed.cell) == view_->data_centre) {
    return;
  }
  const membership::CellOwner* owner = view_->FindCell(routed.cell);
  const membership::Member* member =
      owner == nullptr ? nullptr : view_->FindMember(owner->owner);
  if (member != nullptr && member->state == membership::MemberState::kLive) {
    return;
  }
  const auto service =
      configuration_->services.find(submit->request.key.service);
  if (service == configuration_->services.end()) return;
  std::vector<membership::WeightedCell> local = AllowedCells(&service->second);
  std::erase_if(local, [this](const membership::WeightedCell& cell) {
    return configuration::DataCentreOf(cell.cell) != view_->data_centre;
  });
  const auto cell = membership::HomeCell(submit->request.id, local);
  if (!cell) return;
  routed.cell = *cell;
  metrics_.Count(telemetry::Counter::kCallsSpilled);
}

asio::awaitable<cell::CallReply> CallerFront::RequestReply(
    std::shared_ptr<RoutedCall> routed) {
  const membership::RouteDecision decision =
      membership::Route(routing_, *view_, routed->cell, 0);
  if (const auto* refuse = std::get_if<membership::RefuseRoute>(&decision)) {
    co_return refuse->refusal;
  }
  const Duration left = routed->deadline - runtime::SteadyNow();
  if (auto* submit = std::get_if<protocol::SubmitOp>(&routed->op)) {
    submit->request.time_left = std::max(left, Duration(1ms));
  }
  const std::uint64_t number = calls_.Register();
  SendCall(decision, *routed, number);
  auto reply = co_await calls_.Wait(number, left + kReplyMargin);
  const PendingCall pending = std::move(pending_calls_[number]);
  pending_calls_.erase(number);
  if (reply) co_return std::move(*reply);
  if (pending.peer) {
    outputs_.peer.Send(ForwardAbandoned{*pending.peer, number});
  } else {
    outputs_.decider.Send(
        CellInput{pending.cell, std::nullopt,
                  cell::ForgetToken{cell::ReplyToken{0, number}}});
  }
  co_return MakeRefusal(Reason::kDeadlinePassed, Verdict::kMayHaveRun);
}

void CallerFront::SendCall(const membership::RouteDecision& decision,
                           const RoutedCall& routed, std::uint64_t number) {
  if (const auto* forward = std::get_if<membership::Forward>(&decision)) {
    pending_calls_[number] = {forward->cell, forward->epoch, forward->instance};
    metrics_.Count(telemetry::Counter::kCallsForwarded);
    outputs_.peer.Send(CallForwarded{
        forward->instance,
        protocol::ForwardedCall{number, forward->cell, 1, routed.op}});
    return;
  }
  const auto& here = std::get<membership::ServeHere>(decision);
  pending_calls_[number] = {here.cell, here.epoch, std::nullopt};
  outputs_.decider.Send(
      CellInput{here.cell, std::nullopt,
                ToInput(cell::ReplyToken{0, number}, routed.op)});
}

std::vector<membership::WeightedCell> CallerFront::AllowedCells(
    const configuration::Service* service) const {
  std::vector<membership::WeightedCell> allowed;
  for (const configuration::CellTopology& cell : *cells_) {
    if (service != nullptr && !service->data_centres.empty() &&
        std::find(service->data_centres.begin(), service->data_centres.end(),
                  configuration::DataCentreOf(cell.id)) ==
            service->data_centres.end()) {
      continue;
    }
    // Listed workers count in every state: if a failure moved a call's home,
    // two cells could hold the same key.
    double weight = 0;
    for (const configuration::Worker& worker : cell.workers) {
      weight += worker.accelerators;
    }
    allowed.push_back({cell.id, weight});
  }
  return allowed;
}

std::vector<CellId> CallerFront::HomesOf(const CallId& id) const {
  std::vector<CellId> homes;
  for (const auto& [service_id, service] : configuration_->services) {
    const auto home = membership::HomeCell(id, AllowedCells(&service));
    if (home && std::find(homes.begin(), homes.end(), *home) == homes.end()) {
      homes.push_back(*home);
    }
  }
  return homes;
}

Duration CallerFront::AddJitter(Duration delay) {
  std::uniform_int_distribution<Duration::rep> distribution(delay.count() / 2,
                                                            delay.count());
  return Duration(distribution(random_));
}

}  // namespace jasminespar::daemon
