// Orders that cannot be sent, as the dispatch duty learns of them.
#include "jasminespar/jobserver/worker_link.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <utility>

#include "jasminespar/fleet/fleet_codec.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {
namespace {

constexpr std::size_t kRingCapacity = 16;

/// A worker link whose orders come from, and whose results go to, this duty.
class WorkerLinkFixture {
 public:
  WorkerLinkFixture()
      : link_(worker_duty_, fleet::MakeFleetCodec().worker, results_,
              metrics_) {
    runtime::ConnectConsumer(orders_, dispatch_duty_, worker_duty_, link_);
    runtime::ConnectDuties(results_, worker_duty_, dispatch_duty_,
                           [this](ToDispatch&& message) {
                             auto& result = std::get<OrderResult>(message);
                             result_.set_value(std::move(result.ended));
                           });
    worker_duty_.Start();
    dispatch_duty_.Start();
  }

  ~WorkerLinkFixture() {
    worker_duty_.Stop();
    dispatch_duty_.Stop();
  }

  WorkerLinkFixture(const WorkerLinkFixture&) = delete;
  WorkerLinkFixture& operator=(const WorkerLinkFixture&) = delete;

  /// @return how the order ended; nothing if that is not known in time.
  std::optional<jobs::OrderOutcome> Send(ForwardOrder forward) {
    result_ = std::promise<jobs::OrderEnded>();
    auto ended = result_.get_future();
    boost::asio::post(dispatch_duty_.context(),
                      [this, &forward] { orders_.Send(std::move(forward)); });
    if (ended.wait_for(std::chrono::seconds(10)) != std::future_status::ready) {
      return std::nullopt;
    }
    return ended.get().outcome;
  }

 private:
  telemetry::Metrics metrics_;
  runtime::Duty worker_duty_{"workers"};
  runtime::Duty dispatch_duty_{"dispatch"};
  runtime::Channel<ToWorkers> orders_{kRingCapacity};
  runtime::Channel<ToDispatch> results_{kRingCapacity};
  std::promise<jobs::OrderEnded> result_;
  WorkerLink link_;
};

ForwardOrder PollOf(const std::string& host) {
  ForwardOrder forward;
  forward.expires_at = runtime::SteadyNow() + 1min;
  forward.order.worker.value = "i-1";
  forward.order.host = host;
  forward.order.port = 1;
  forward.order.what = jobs::PollWorker{};
  return forward;
}

TEST_CASE("an order to an impossible address ends without an answer") {
  WorkerLinkFixture fixture;
  for (const char* host : {"", "not an address", "127.0.0.1"}) {
    CAPTURE(host);
    const auto outcome = fixture.Send(PollOf(host));
    REQUIRE(outcome.has_value());
    CHECK(std::holds_alternative<jobs::OrderUnanswered>(*outcome));
  }
}

TEST_CASE("an order that waited past its permission is not sent") {
  WorkerLinkFixture fixture;
  ForwardOrder late = PollOf("127.0.0.1");
  late.expires_at = runtime::SteadyNow();
  const auto outcome = fixture.Send(late);
  REQUIRE(outcome.has_value());
  CHECK(std::holds_alternative<jobs::OrderExpired>(*outcome));
}

}  // namespace
}  // namespace jasminespar::jobserver
