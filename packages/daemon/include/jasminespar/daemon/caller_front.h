/// @file
/// Duty caller_front: serves HTTP requests of callers and operators, and routes
/// each call to the owner of its home cell.

#ifndef JASMINESPAR_DAEMON_CALLER_FRONT_H_
#define JASMINESPAR_DAEMON_CALLER_FRONT_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/http/server.h"
#include "jasminespar/membership/routing.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/runtime/reply_table.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

struct FrontSettings {
  configuration::Address listen;
  http::ServerLimits limits;
  /// From reporting not ready to closing the listener.
  Duration drain_delay = 500ms;
  std::uint64_t random_seed = 0;
};

struct FrontOutputs {
  runtime::Channel<ToDecider>& decider;
  runtime::Channel<ToPeer>& peer;
  runtime::Channel<ToPlatform>& platform;
  runtime::Channel<ToTelemetry>& telemetry;
};

/// Runs on its duty's thread only, unless stated otherwise.
class CallerFront {
 public:
  /// Binds the listener.
  /// @throws std::exception when the address cannot be bound.
  CallerFront(runtime::Duty& duty, const FrontSettings& settings,
              FrontOutputs outputs, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToFront message);

  /// @return requests read and not yet answered. Callable from any thread.
  [[nodiscard]] std::size_t requests_in_progress() const noexcept {
    return requests_in_progress_;
  }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  /// A call that is being routed to the owner of its cell.
  struct RoutedCall {
    protocol::CallOp op;
    CellId cell;
    TimePoint deadline;
    Verdict worst_verdict = Verdict::kNotRun;  ///< Of all refusals.
  };
  /// Where a call that waits for its reply was sent.
  struct PendingCall {
    CellId cell;
    Epoch epoch;
    std::optional<InstanceId> peer;  ///< Unset if this instance owns it.
  };

  void On(CallReplied message);
  void On(const ViewUpdate& message);
  void On(NoteResponse message);
  void On(MetricsRendered message);
  void On(const CellsUpdate& message);
  void On(const ConfigurationUpdate& message);
  void On(const DrainFront& message);

  /// @return whether a release note is in force here. Without one an instance
  ///     knows no service, but the site's first note may be on its way.
  [[nodiscard]] bool has_accepted_note() const;
  [[nodiscard]] bool ready() const { return !draining_ && has_accepted_note(); }

  boost::asio::awaitable<http::Response> Serve(
      http::Request request, std::shared_ptr<http::ConnectionState> state);
  boost::asio::awaitable<http::Response> Dispatch(http::Request request);
  boost::asio::awaitable<http::Response> ServeSubmit(http::Request request,
                                                     ServiceId service);
  boost::asio::awaitable<http::Response> ServeCall(http::Request request,
                                                   CallId id);
  boost::asio::awaitable<http::Response> ServeNotes(http::Request request);
  boost::asio::awaitable<http::Response> ServeMetrics();
  [[nodiscard]] http::Response ServeStatus(std::string_view path) const;
  [[nodiscard]] http::Response Refuse(const Refusal& refusal);

  /// Sends a call to the owner of its cell, again after each refusal that
  /// concerns routing, until it has another reply or its deadline has passed.
  boost::asio::awaitable<cell::CallReply> RouteCall(RoutedCall routed);
  /// Changes the call's cell to one of this data centre, if the call allows it
  /// and no live owner of its home cell is known.
  void RedirectToLocalCell(RoutedCall& routed) const;
  /// Sends a call once and waits for its reply.
  boost::asio::awaitable<cell::CallReply> RequestReply(
      std::shared_ptr<RoutedCall> routed);
  void SendCall(const membership::RouteDecision& decision,
                const RoutedCall& routed, std::uint64_t number);
  /// @return the cells in the data centres that the service allows; all cells
  ///     when `service` is null.
  [[nodiscard]] std::vector<membership::WeightedCell> AllowedCells(
      const configuration::Service* service) const;
  /// @return the home cells that the call would have under any service.
  [[nodiscard]] std::vector<CellId> HomesOf(const CallId& id) const;
  /// @return a random duration from half of `delay` to all of it.
  [[nodiscard]] Duration AddJitter(Duration delay);

  boost::asio::io_context& context_;
  FrontSettings settings_;
  FrontOutputs outputs_;
  telemetry::Metrics& metrics_;
  membership::RoutingSettings routing_;
  ViewPtr view_;
  CellsPtr cells_;
  ConfigurationPtr configuration_;
  runtime::ReplyTable<cell::CallReply> calls_;
  std::map<std::uint64_t, PendingCall> pending_calls_;  // By number in calls_.
  runtime::ReplyTable<NoteResponse> notes_;
  runtime::ReplyTable<std::string> metrics_replies_;
  std::mt19937_64 random_;
  bool configuration_known_ = false;
  bool draining_ = false;
  std::atomic<std::size_t> requests_in_progress_{0};
  boost::asio::steady_timer drain_timer_;
  http::Server server_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_CALLER_FRONT_H_
