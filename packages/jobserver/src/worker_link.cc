#include "jasminespar/jobserver/worker_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;

namespace {

/// A worker answers an order within milliseconds, a slow worker within a few
/// hundred.
constexpr Duration kOrderTimeout = 500ms;

/// Added to the time that a poll waits at the worker for a run to end.
constexpr Duration kPollMargin = 600ms;

/// A worker serves 64 connections in all, for all instances.
constexpr std::size_t kConnectionsPerWorker = 8;

Duration TimeoutOf(const jobs::WorkerOrder& order) {
  if (const auto* poll = std::get_if<jobs::PollWorker>(&order)) {
    return poll->wait + kPollMargin;
  }
  return kOrderTimeout;
}

}  // namespace

WorkerLink::WorkerLink(runtime::Duty& duty, const site::WorkerCodec& codec,
                       runtime::Channel<ToDispatch>& dispatch,
                       telemetry::Metrics& metrics)
    : duty_(duty), codec_(codec), dispatch_(dispatch), metrics_(metrics) {}

void WorkerLink::Handle(ToWorkers message) {
  std::visit(Overloaded{[this](ForwardOrder& forward) {
               asio::co_spawn(duty_.context(), Forward(std::move(forward)),
                              asio::detached);
             }},
             message);
}

asio::awaitable<void> WorkerLink::Forward(ForwardOrder forward) {
  jobs::OrderEnded ended{forward.order.order, forward.order.worker,
                         jobs::OrderUnanswered{}};
  bool expired = false;
  http::ExchangeLimits limits;
  limits.response = TimeoutOf(forward.order.what);
  limits.may_send = [&expired, until = forward.expires_at] {
    expired = runtime::SteadyNow() >= until;
    return !expired;
  };
  try {
    // Checked again when the connection is there, which takes time too.
    if (!limits.may_send())
      throw Error(Reason::kWorkerUnreachable, Verdict::kNotRun, "expired");
    const std::shared_ptr<http::Client> client = ClientOf(forward.order);
    http::Request request = codec_.encode_order(forward.order, forward.epoch);
    const http::Response response =
        co_await client->Send(std::move(request), limits);
    ended.outcome = codec_.decode_response(forward.order, response);
  } catch (const Error& error) {
    // `ended` already says that there was no answer; the dispatcher logs it.
    metrics_.CountRetry(error.reason());
    if (expired) ended.outcome = jobs::OrderExpired{};
  } catch (const std::exception& error) {
    // For example an address that a worker cannot have.
    telemetry::LogEvent(
        telemetry::Event::kInternalError,
        {{"worker", forward.order.worker.value}, {"fault", error.what()}});
  }
  dispatch_.Send(OrderResult{forward.epoch, std::move(ended)});
}

std::shared_ptr<http::Client> WorkerLink::ClientOf(
    const jobs::SendOrder& order) {
  std::shared_ptr<http::Client>& client =
      clients_[Address(order.host, order.port)];
  if (client == nullptr) {
    client = std::make_shared<http::Client>(duty_.context(), order.host,
                                            order.port, kConnectionsPerWorker);
  }
  return client;
}

}  // namespace jasminespar::jobserver
