#include "jasminespar/daemon/instance.h"

#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <functional>

#include "jasminespar/daemon/caller_front.h"
#include "jasminespar/daemon/cell_decider.h"
#include "jasminespar/daemon/endpoint_link.h"
#include "jasminespar/daemon/peer_link.h"
#include "jasminespar/daemon/platform_link.h"
#include "jasminespar/daemon/telemetry_duty.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::daemon {

namespace asio = boost::asio;
using runtime::Channel;
using runtime::ConnectConsumer;
using runtime::Duty;

namespace {

constexpr Duration kDrainPollInterval = 50ms;

FrontSettings ToFrontSettings(const settings::DaemonSettings& settings,
                              std::uint64_t incarnation) {
  FrontSettings front;
  front.listen = settings.caller_address;
  front.limits.max_connections = settings.caller_limits.max_connections;
  front.limits.max_header_bytes = settings.caller_limits.max_header_bytes;
  front.limits.max_body_bytes = settings.caller_limits.max_body_bytes;
  front.limits.read_timeout = settings.caller_limits.read_timeout;
  front.limits.idle_timeout = settings.caller_limits.idle_timeout;
  front.random_seed = incarnation;
  return front;
}

PeerLinkSettings ToPeerSettings(const settings::DaemonSettings& settings,
                                std::uint64_t incarnation) {
  PeerLinkSettings peer;
  peer.self = {settings.instance, settings.data_centre, settings.caller_address,
               settings.advertised_peer_address,
               configuration::MachineState::kLive};
  peer.listen = settings.peer_address;
  peer.incarnation = incarnation;
  peer.heartbeat_interval = settings.heartbeat_interval;
  peer.members.suspect_after = settings.suspect_after;
  return peer;
}

PlatformLinkSettings ToPlatformSettings(
    const settings::DaemonSettings& settings) {
  PlatformLinkSettings platform;
  platform.platform = settings.platform_address;
  platform.list_poll_interval = settings.list_poll_interval;
  platform.configuration_poll_interval = settings.configuration_poll_interval;
  platform.racks_per_cell = settings.racks_per_cell;
  platform.journal.budget.site_writes_per_second =
      settings.journal_write_budget;
  platform.journal.max_batch_bytes = settings.journal_max_batch_bytes;
  return platform;
}

EndpointLinkSettings ToEndpointSettings(
    const settings::DaemonSettings& settings) {
  EndpointLinkSettings endpoint;
  endpoint.connections_per_endpoint = settings.worker_connections;
  endpoint.report_wait = settings.report_wait;
  endpoint.worker_lease = settings.cell.worker_lease;
  return endpoint;
}

}  // namespace

class Instance::Impl {
 public:
  explicit Impl(const settings::DaemonSettings& settings)
      : settings_(settings),
        incarnation_(static_cast<std::uint64_t>(runtime::WallMilliseconds())),
        rings_(settings.ring_capacity),
        front_(front_duty_, ToFrontSettings(settings, incarnation_),
               {rings_.front_to_decider, rings_.front_to_peer,
                rings_.front_to_platform, rings_.front_to_telemetry},
               metrics_),
        decider_(decider_duty_, settings.cell,
                 {rings_.decider_to_front, rings_.decider_to_peer,
                  rings_.decider_to_endpoint, rings_.decider_to_platform},
                 metrics_),
        endpoint_(endpoint_duty_, ToEndpointSettings(settings),
                  rings_.endpoint_to_decider, rings_.endpoint_to_peer,
                  metrics_),
        platform_(platform_duty_, ToPlatformSettings(settings),
                  {rings_.platform_to_front, rings_.platform_to_decider,
                   rings_.platform_to_peer},
                  metrics_),
        peer_(peer_duty_, ToPeerSettings(settings, incarnation_),
              {rings_.peer_to_front, rings_.peer_to_decider,
               rings_.peer_to_platform, rings_.peer_to_endpoint},
              metrics_),
        telemetry_(rings_.telemetry_to_front, metrics_) {
    JoinRings();
  }

  void Run() {
    StartDuties();
    telemetry::LogEvent(telemetry::Event::kStarted,
                        {{"instance", settings_.instance.value},
                         {"data_centre", settings_.data_centre.value}});
    asio::signal_set signals(main_context_, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) BeginShutdown();
    });
    main_context_.run();
    StopDuties();
    telemetry::LogEvent(telemetry::Event::kStopped,
                        {{"instance", settings_.instance.value}});
  }

 private:
  struct Rings {
    explicit Rings(std::size_t capacity)
        : front_to_decider(capacity),
          front_to_peer(capacity),
          front_to_platform(capacity),
          front_to_telemetry(capacity),
          decider_to_front(capacity),
          decider_to_peer(capacity),
          decider_to_endpoint(capacity),
          decider_to_platform(capacity),
          endpoint_to_decider(capacity),
          endpoint_to_peer(capacity),
          platform_to_front(capacity),
          platform_to_decider(capacity),
          platform_to_peer(capacity),
          peer_to_front(capacity),
          peer_to_decider(capacity),
          peer_to_platform(capacity),
          peer_to_endpoint(capacity),
          telemetry_to_front(capacity),
          main_to_front(capacity),
          main_to_peer(capacity) {}
    Channel<ToDecider> front_to_decider;
    Channel<ToPeer> front_to_peer;
    Channel<ToPlatform> front_to_platform;
    Channel<ToTelemetry> front_to_telemetry;
    Channel<ToFront> decider_to_front;
    Channel<ToPeer> decider_to_peer;
    Channel<ToEndpoint> decider_to_endpoint;
    Channel<ToPlatform> decider_to_platform;
    Channel<ToDecider> endpoint_to_decider;
    Channel<ToPeer> endpoint_to_peer;
    Channel<ToFront> platform_to_front;
    Channel<ToDecider> platform_to_decider;
    Channel<ToPeer> platform_to_peer;
    Channel<ToFront> peer_to_front;
    Channel<ToDecider> peer_to_decider;
    Channel<ToPlatform> peer_to_platform;
    Channel<ToEndpoint> peer_to_endpoint;
    Channel<ToFront> telemetry_to_front;
    Channel<ToFront> main_to_front;
    Channel<ToPeer> main_to_peer;
  };

  void JoinRings() {
    ConnectConsumer(rings_.front_to_decider, front_duty_, decider_duty_,
                    decider_);
    ConnectConsumer(rings_.front_to_peer, front_duty_, peer_duty_, peer_);
    ConnectConsumer(rings_.front_to_platform, front_duty_, platform_duty_,
                    platform_);
    ConnectConsumer(rings_.front_to_telemetry, front_duty_, telemetry_duty_,
                    telemetry_);
    ConnectConsumer(rings_.decider_to_front, decider_duty_, front_duty_,
                    front_);
    ConnectConsumer(rings_.decider_to_peer, decider_duty_, peer_duty_, peer_);
    ConnectConsumer(rings_.decider_to_endpoint, decider_duty_, endpoint_duty_,
                    endpoint_);
    ConnectConsumer(rings_.decider_to_platform, decider_duty_, platform_duty_,
                    platform_);
    ConnectConsumer(rings_.endpoint_to_decider, endpoint_duty_, decider_duty_,
                    decider_);
    ConnectConsumer(rings_.endpoint_to_peer, endpoint_duty_, peer_duty_, peer_);
    ConnectConsumer(rings_.peer_to_endpoint, peer_duty_, endpoint_duty_,
                    endpoint_);
    ConnectConsumer(rings_.platform_to_front, platform_duty_, front_duty_,
                    front_);
    ConnectConsumer(rings_.platform_to_decider, platform_duty_, decider_duty_,
                    decider_);
    ConnectConsumer(rings_.platform_to_peer, platform_duty_, peer_duty_, peer_);
    ConnectConsumer(rings_.peer_to_front, peer_duty_, front_duty_, front_);
    ConnectConsumer(rings_.peer_to_decider, peer_duty_, decider_duty_,
                    decider_);
    ConnectConsumer(rings_.peer_to_platform, peer_duty_, platform_duty_,
                    platform_);
    ConnectConsumer(rings_.telemetry_to_front, telemetry_duty_, front_duty_,
                    front_);
    ConnectConsumer(rings_.main_to_front, main_duty_, front_duty_, front_);
    ConnectConsumer(rings_.main_to_peer, main_duty_, peer_duty_, peer_);
  }

  void StartDuties() {
    // Each Start runs on its duty's thread, like all other work of the duty.
    asio::post(front_duty_.context(), [this] { front_.Start(); });
    asio::post(decider_duty_.context(), [this] { decider_.Start(); });
    asio::post(platform_duty_.context(), [this] { platform_.Start(); });
    asio::post(peer_duty_.context(), [this] { peer_.Start(); });
    for (Duty* duty : duties_) duty->Start();
  }

  void StopDuties() {
    for (Duty* duty : duties_) duty->Stop();
  }

  void BeginShutdown() {
    telemetry::LogEvent(telemetry::Event::kStopping,
                        {{"instance", settings_.instance.value}});
    rings_.main_to_front.Send(DrainFront{});
    rings_.main_to_peer.Send(LeaveSite{});
    latest_exit_ = runtime::SteadyNow() + settings_.shutdown_grace;
    // By then the cells are handed over and the load balancer sends no more
    // requests.
    WaitUntilDrained(FrontSettings{}.drain_delay);
  }

  void WaitUntilDrained(Duration delay) {
    drain_timer_.expires_after(delay);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      if (front_.requests_in_progress() == 0 &&
          !std::exchange(no_pending_requests_, true)) {
        rings_.main_to_peer.Send(LeaveSite{true});
      }
      const bool drained =
          front_.requests_in_progress() == 0 && peer_.owned_cell_count() == 0;
      if (drained || runtime::SteadyNow() >= latest_exit_) {
        main_context_.stop();
        return;
      }
      WaitUntilDrained(kDrainPollInterval);
    });
  }

  settings::DaemonSettings settings_;
  std::uint64_t incarnation_;
  telemetry::Metrics metrics_;
  Rings rings_;
  Duty main_duty_{"main"};  // Never started: its context is run by Run.
  asio::io_context& main_context_ = main_duty_.context();
  Duty front_duty_{"caller_front"};
  Duty decider_duty_{"cell_decider"};
  Duty endpoint_duty_{"endpoint_link"};
  Duty platform_duty_{"platform_link"};
  Duty peer_duty_{"peer_link"};
  Duty telemetry_duty_{"telemetry"};
  std::array<Duty*, 6> duties_{&front_duty_,    &decider_duty_,
                               &endpoint_duty_, &platform_duty_,
                               &peer_duty_,     &telemetry_duty_};
  CallerFront front_;
  CellDecider decider_;
  EndpointLink endpoint_;
  PlatformLink platform_;
  PeerLink peer_;
  TelemetryDuty telemetry_;
  bool no_pending_requests_ = false;
  TimePoint latest_exit_;
  asio::steady_timer drain_timer_{main_context_};
};

Instance::Instance(const settings::DaemonSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Instance::~Instance() = default;

void Instance::Run() { impl_->Run(); }

}  // namespace jasminespar::daemon
