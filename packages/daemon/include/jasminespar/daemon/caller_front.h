/// @file
/// Duty caller_front: HTTP towards callers and operators, and the routing of
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
  Duration drain_delay = 500ms;  ///< From not ready to a closed listener.
  std::uint64_t random_seed = 0;
};

struct FrontOutputs {
  runtime::Channel<ToDecider>& decider;
  runtime::Channel<ToPeer>& peer;
  runtime::Channel<ToPlatform>& platform;
  runtime::Channel<ToTelemetry>& telemetry;
};

/// Runs on its duty's thread only, `waiting` excepted.
class CallerFront {
 public:
  /// Binds the listener. @throws std::exception when that fails.
  CallerFront(runtime::Duty& duty, const FrontSettings& settings,
              FrontOutputs outputs, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToFront message);

  /// @return requests whose response is not written yet; any thread.
  [[nodiscard]] std::size_t requests_in_progress() const noexcept {
    return requests_in_progress_;
  }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  /// A call on its way to its cell.
  struct RoutedCall {
    protocol::CallOp op;
    CellId cell;
    TimePoint deadline;
    Verdict worst_verdict =
        Verdict::kNotRun;  ///< Worst that any owner left behind.
  };
  /// Where a numbered ask went.
  struct PendingCall {
    CellId cell;
    Epoch epoch;
    std::optional<InstanceId> peer;  ///< Nothing when asked in this instance.
  };

  void On(CallReplied message);
  void On(const ViewUpdate& message);
  void On(NoteResponse message);
  void On(MetricsRendered message);
  void On(const CellsUpdate& message);
  void On(const ConfigurationUpdate& message);
  void On(const DrainFront& message);

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

  boost::asio::awaitable<cell::CallReply> RouteCall(RoutedCall routed);
  void RedirectToLocalCell(RoutedCall& routed) const;
  boost::asio::awaitable<cell::CallReply> RequestReply(
      std::shared_ptr<RoutedCall> routed);
  void SendCall(const membership::RouteDecision& decision,
                const RoutedCall& routed, std::uint64_t number);
  [[nodiscard]] std::vector<membership::WeightedCell> AllowedCells(
      const configuration::Service* service) const;
  [[nodiscard]] std::vector<CellId> HomesOf(const CallId& id) const;
  [[nodiscard]] Duration AddJitter(Duration span);

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
