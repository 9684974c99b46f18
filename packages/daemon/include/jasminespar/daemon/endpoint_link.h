/// @file
/// Duty endpoint_link: connections to the workers of the owned cells.

#ifndef JASMINESPAR_DAEMON_ENDPOINT_LINK_H_
#define JASMINESPAR_DAEMON_ENDPOINT_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>

#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/endpoint/worker_client.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

struct EndpointLinkSettings {
  std::size_t connections_per_endpoint = 8;  ///< An endpoint allows 64.
  Duration request_timeout = 2s;
  Duration report_wait = 2s;
  Duration worker_lease = 10s;
};

/// Runs on its duty's thread only.
class EndpointLink {
 public:
  EndpointLink(runtime::Duty& duty, const EndpointLinkSettings& settings,
               runtime::Channel<ToDecider>& decider,
               runtime::Channel<ToPeer>& peer, telemetry::Metrics& metrics);

  void Handle(ToEndpoint message);

 private:
  /// Reads the reports of one worker for one owned cell and epoch; ends when
  /// `active` is false.
  struct Subscription {
    endpoint::CellRef cell;
    WorkerId worker;
    std::shared_ptr<endpoint::WorkerClient> client;
    bool active = true;
    bool leaving = false;
    std::uint64_t after = 0;  ///< Last change read; 0 requests a full report.
    std::uint64_t restarted = 0;
    TimePoint last_contact;
    bool lost = false;  ///< Reported as lost; reset on contact.
  };
  struct OwnedCell {
    Epoch epoch;
    std::map<WorkerId, std::shared_ptr<Subscription>> workers;
  };
  using SubscriptionPtr = std::shared_ptr<Subscription>;

  void On(TaskRequested message);
  void On(const BeginOwnership& message);
  void On(const EndOwnership& message);
  void On(const CellTopologyUpdate& message);
  void On(const LeasesRequested& message);

  /// Sends the worker's answer to the peer link; nothing if it is unreachable.
  boost::asio::awaitable<void> RequestLease(endpoint::CellRef cell,
                                            configuration::Worker worker);
  [[nodiscard]] std::shared_ptr<endpoint::WorkerClient> ClientOf(
      const configuration::Worker& worker);
  /// Starts reports from the workers that have none yet.
  void Subscribe(OwnedCell& owned, const configuration::CellTopology& topology);
  boost::asio::awaitable<void> ReadReports(SubscriptionPtr subscription);
  /// @return false when the request failed.
  boost::asio::awaitable<bool> ReadReport(SubscriptionPtr subscription);
  /// Sends the task's state to the decider, with its answer fetched from the
  /// worker if it has one.
  boost::asio::awaitable<void> SendTaskUpdate(SubscriptionPtr subscription,
                                              cell::ReportedTask task);
  /// Reports the worker lost once its lease has expired.
  void ReportIfLost(Subscription& subscription);
  boost::asio::awaitable<void> PerformEffect(SubscriptionPtr subscription,
                                             TaskEffect effect);
  void NotifyReply(const Subscription& subscription, const cell::TaskRef& task,
                   const endpoint::TaskReply& reply);
  void SendInput(const Subscription& subscription, cell::Input input);
  void NotifyFenced(const Subscription& subscription);

  boost::asio::io_context& context_;
  EndpointLinkSettings settings_;
  runtime::Channel<ToDecider>& decider_;
  runtime::Channel<ToPeer>& peer_;
  telemetry::Metrics& metrics_;
  std::map<CellId, OwnedCell> cells_;
  std::map<configuration::Address, std::shared_ptr<endpoint::WorkerClient>>
      clients_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_ENDPOINT_LINK_H_
