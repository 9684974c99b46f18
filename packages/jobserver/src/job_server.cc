#include "jasminespar/jobserver/job_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "jasminespar/clients/memory_shares.h"
#include "jasminespar/jobserver/configuration_link.h"
#include "jasminespar/jobserver/dispatch_duty.h"
#include "jasminespar/jobserver/job_front.h"
#include "jasminespar/jobserver/peer_link.h"
#include "jasminespar/jobserver/store_link.h"
#include "jasminespar/jobserver/telemetry_writer.h"
#include "jasminespar/jobserver/worker_link.h"
#include "jasminespar/runtime/clock.h"
#include "job_rings.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;
using runtime::ConnectConsumer;
using runtime::Duty;
using telemetry::Event;

namespace {

/// The load balancer removes an instance after two failed readiness checks, a
/// second apart.
constexpr Duration kBalancerDelay = 2600ms;

constexpr Duration kDrainPollInterval = 50ms;

/// What is left of the shutdown grace when the process exits even with requests
/// in progress.
constexpr Duration kExitMargin = 700ms;

/// The settings file is also read again without a signal.
constexpr Duration kSettingsPollInterval = 5s;

/// Longest time to receive a request, header and body, as in the operator's
/// limits for callers.
constexpr Duration kReadTimeout = 3s;
constexpr Duration kIdleTimeout = 60s;

/// A probe has no body.
constexpr std::size_t kMaxProbeBodyBytes = 4U << 10;

/// A request that a peer relays holds a few rows, and the table accepts no
/// transaction above 1 MiB.
constexpr std::size_t kMaxPeerRequestBytes = 2U << 20;
constexpr std::size_t kMaxRowsOfPeerRequest = 16;

clients::MemoryShares SharesOf(const settings::JobServerSettings& settings) {
  return clients::SharesOf(settings.memory_bytes,
                           settings.client_memory_percent);
}

http::ServerLimits ToProbeLimits(const settings::JobServerSettings& settings) {
  http::ServerLimits limits;
  limits.max_connections = settings.max_probe_connections;
  limits.max_body_bytes = kMaxProbeBodyBytes;
  limits.max_framing_bytes = settings.max_framing_bytes;
  limits.max_held_bytes = SharesOf(settings).probes;
  limits.read_timeout = kReadTimeout;
  limits.idle_timeout = kIdleTimeout;
  return limits;
}

PeerLimits ToPeerLimits(const settings::JobServerSettings& settings) {
  PeerLimits limits;
  limits.budget = {SharesOf(settings).peers, settings.max_peer_connections};
  limits.max_request_bytes = std::max<std::size_t>(
      kMaxPeerRequestBytes, kMaxRowsOfPeerRequest * settings.max_row_bytes);
  return limits;
}

JobFrontSettings ToFrontSettings(const settings::JobServerSettings& settings) {
  JobFrontSettings front;
  front.callers = settings.caller_address;
  front.readiness = settings.readiness_address;
  front.limits.max_connections = settings.max_connections;
  front.limits.read_timeout = kReadTimeout;
  front.limits.idle_timeout = kIdleTimeout;
  front.limits.max_framing_bytes = settings.max_framing_bytes;
  front.limits.max_held_bytes = SharesOf(settings).callers;
  front.limits.max_body_bytes = clients::LargestBody(SharesOf(settings));
  front.probe_limits = ToProbeLimits(settings);
  return front;
}

jobs::DispatcherSettings ToDispatcherSettings(
    const settings::JobServerSettings& settings) {
  jobs::DispatcherSettings dispatcher;
  dispatcher.max_lease = settings.max_lease;
  dispatcher.status_retention = settings.status_retention;
  dispatcher.resume_delay = settings.resume_delay;
  dispatcher.stop_limit = settings.stop_limit;
  dispatcher.entry_interval = settings.entry_interval;
  dispatcher.reclaim_within = settings.reclaim_within;
  dispatcher.max_row_bytes = settings.max_row_bytes;
  dispatcher.evacuate_within = settings.evacuate_within;
  dispatcher.worker_pace = settings.worker_pace;
  dispatcher.caller_cost = settings.caller_cost;
  dispatcher.departures = settings.departures;
  return dispatcher;
}

site::TableClientSettings ToTableSettings(
    const settings::JobServerSettings& settings) {
  site::TableClientSettings table;
  table.address = settings.table_address;
  return table;
}

void LogFailure(const std::string& duty, const std::string& error) {
  telemetry::LogEvent(Event::kInternalError,
                      {{"duty", duty}, {"fault", error}});
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

class JobServer::Impl {
 public:
  Impl(const settings::JobServerSettings& settings, std::string settings_path,
       const site::SiteCodec& codec)
      : settings_(settings),
        settings_path_(std::move(settings_path)),
        settings_text_(ReadFile(settings_path_)),
        rings_(settings.ring_capacity),
        log_(rings_.main_to_telemetry),
        front_(front_duty_, ToFrontSettings(settings), codec,
               {rings_.front_to_store, rings_.front_to_peers,
                rings_.front_to_telemetry},
               metrics_),
        store_(store_duty_, ToTableSettings(settings),
               {settings.instance, settings.peer_address}, codec,
               {rings_.store_to_front, rings_.store_to_dispatch,
                rings_.store_to_peers, rings_.store_to_telemetry},
               metrics_),
        dispatch_(dispatch_duty_, settings.instance, settings.memory_bytes,
                  ToDispatcherSettings(settings),
                  {rings_.dispatch_to_store, rings_.dispatch_to_workers,
                   rings_.dispatch_to_peers, rings_.dispatch_to_telemetry},
                  metrics_),
        workers_(worker_duty_, codec.worker, rings_.workers_to_dispatch,
                 metrics_),
        peers_(peer_duty_, settings.instance, settings.peer_address,
               ToPeerLimits(settings),
               {rings_.peers_to_store, rings_.peers_to_dispatch,
                rings_.peers_to_front, rings_.peers_to_configuration,
                rings_.peers_to_telemetry},
               metrics_),
        configuration_(
            configuration_duty_, settings.table_address, settings.instance,
            codec,
            {rings_.configuration_to_front, rings_.configuration_to_dispatch,
             rings_.configuration_to_store, rings_.configuration_to_peers,
             rings_.configuration_to_telemetry},
            metrics_),
        telemetry_(telemetry_duty_, settings.metrics_address,
                   ToProbeLimits(settings), metrics_) {
    JoinRings();
  }

  void Run() {
    StartDuties();
    log_.Log(Event::kStarted,
             {{"instance", settings_.instance.value},
              {"data_centre", settings_.data_centre.value},
              {"table", settings_.table_address.host},
              {"max_lease_ms", ToMilliseconds(settings_.max_lease)}});
    asio::signal_set stop_signals(main_context_, SIGTERM, SIGINT);
    stop_signals.async_wait(
        [this](const boost::system::error_code& error, int) {
          if (!error) BeginShutdown();
        });
    asio::signal_set reload_signal(main_context_, SIGHUP);
    WaitForReloadSignal(reload_signal);
    PollSettings();
    main_context_.run();
    for (Duty* duty : duties_) duty->Stop();
    telemetry_.Flush();
  }

 private:
  void JoinRings() {
    runtime::ConnectDuties(rings_.front_to_store, front_duty_, store_duty_,
                           [this](FrontToStore&& message) {
                             store_.HandleFront(std::move(message));
                           });
    runtime::ConnectDuties(rings_.dispatch_to_store, dispatch_duty_,
                           store_duty_, [this](DispatchToStore&& message) {
                             store_.HandleDispatch(std::move(message));
                           });
    runtime::ConnectDuties(rings_.peers_to_store, peer_duty_, store_duty_,
                           [this](PeersToStore&& message) {
                             store_.HandlePeers(std::move(message));
                           });
    runtime::ConnectDuties(rings_.configuration_to_store, configuration_duty_,
                           store_duty_, [this](ConfigurationToStore&& message) {
                             store_.HandleConfiguration(std::move(message));
                           });
    ConnectConsumer(rings_.configuration_to_front, configuration_duty_,
                    front_duty_, front_);
    ConnectConsumer(rings_.configuration_to_dispatch, configuration_duty_,
                    dispatch_duty_, dispatch_);
    ConnectConsumer(rings_.configuration_to_peers, configuration_duty_,
                    peer_duty_, peers_);
    ConnectConsumer(rings_.configuration_to_telemetry, configuration_duty_,
                    telemetry_duty_, telemetry_);
    ConnectConsumer(rings_.peers_to_configuration, peer_duty_,
                    configuration_duty_, configuration_);
    ConnectConsumer(rings_.store_to_peers, store_duty_, peer_duty_, peers_);
    ConnectConsumer(rings_.front_to_peers, front_duty_, peer_duty_, peers_);
    ConnectConsumer(rings_.peers_to_front, peer_duty_, front_duty_, front_);
    ConnectConsumer(rings_.peers_to_dispatch, peer_duty_, dispatch_duty_,
                    dispatch_);
    ConnectConsumer(rings_.peers_to_telemetry, peer_duty_, telemetry_duty_,
                    telemetry_);
    ConnectConsumer(rings_.front_to_telemetry, front_duty_, telemetry_duty_,
                    telemetry_);
    ConnectConsumer(rings_.store_to_front, store_duty_, front_duty_, front_);
    ConnectConsumer(rings_.store_to_dispatch, store_duty_, dispatch_duty_,
                    dispatch_);
    ConnectConsumer(rings_.store_to_telemetry, store_duty_, telemetry_duty_,
                    telemetry_);
    ConnectConsumer(rings_.dispatch_to_workers, dispatch_duty_, worker_duty_,
                    workers_);
    ConnectConsumer(rings_.dispatch_to_peers, dispatch_duty_, peer_duty_,
                    peers_);
    ConnectConsumer(rings_.dispatch_to_telemetry, dispatch_duty_,
                    telemetry_duty_, telemetry_);
    ConnectConsumer(rings_.workers_to_dispatch, worker_duty_, dispatch_duty_,
                    dispatch_);
    ConnectConsumer(rings_.main_to_front, main_duty_, front_duty_, front_);
    ConnectConsumer(rings_.main_to_dispatch, main_duty_, dispatch_duty_,
                    dispatch_);
    ConnectConsumer(rings_.main_to_telemetry, main_duty_, telemetry_duty_,
                    telemetry_);
  }

  void StartDuties() {
    // Each Start runs on the thread of its duty, like all its other code.
    asio::post(front_duty_.context(), [this] { front_.Start(); });
    asio::post(store_duty_.context(), [this] { store_.Start(); });
    asio::post(dispatch_duty_.context(), [this] { dispatch_.Start(); });
    asio::post(peer_duty_.context(), [this] { peers_.Start(); });
    asio::post(configuration_duty_.context(),
               [this] { configuration_.Start(); });
    asio::post(telemetry_duty_.context(), [this] { telemetry_.Start(); });
    for (Duty* duty : duties_) duty->Start();
  }

  void WaitForReloadSignal(asio::signal_set& signal) {
    signal.async_wait(
        [this, &signal](const boost::system::error_code& error, int) {
          if (error) return;
          Reload("signal");
          WaitForReloadSignal(signal);
        });
  }

  void PollSettings() {
    settings_timer_.expires_after(kSettingsPollInterval);
    settings_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      if (ReadFile(settings_path_) != settings_text_) Reload("poll");
      PollSettings();
    });
  }

  /// Applies the settings that may change while running. A file with errors
  /// changes nothing.
  void Reload(std::string_view trigger) {
    settings_text_ = ReadFile(settings_path_);
    const auto parsed =
        settings::ParseJobServerSettings(settings_text_, settings_path_);
    if (const auto* errors =
            std::get_if<std::vector<settings::SettingError>>(&parsed)) {
      for (const settings::SettingError& error : *errors) {
        log_.Log(Event::kSettingsFault, {{"fault", ToString(error)}});
      }
      return;
    }
    const auto& reloaded = std::get<settings::JobServerSettings>(parsed);
    rings_.main_to_dispatch.Send(
        DispatcherSettingsChanged{ToDispatcherSettings(reloaded)});
    settings_.shutdown_grace = reloaded.shutdown_grace;
    log_.Log(Event::kSettingsReloaded,
             {{"trigger", trigger},
              {"max_lease_ms", ToMilliseconds(reloaded.max_lease)},
              {"shutdown_grace_ms", ToMilliseconds(reloaded.shutdown_grace)}});
  }

  void BeginShutdown() {
    log_.Log(Event::kStopping, {{"instance", settings_.instance.value}});
    rings_.main_to_front.Send(DrainFront{});
    rings_.main_to_dispatch.Send(ReleaseCell{});
    const TimePoint now = runtime::SteadyNow();
    earliest_exit_ = now + kBalancerDelay;
    latest_exit_ = now + settings_.shutdown_grace - kExitMargin;
    WaitUntilDrained(kDrainPollInterval);
  }

  void WaitUntilDrained(Duration delay) {
    drain_timer_.expires_after(delay);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      const TimePoint now = runtime::SteadyNow();
      const bool drained = now >= earliest_exit_ && !dispatch_.owns() &&
                           front_.requests_in_progress() == 0;
      if (drained || now >= latest_exit_) {
        log_.Log(Event::kStopped, {{"instance", settings_.instance.value},
                                   {"drained", drained}});
        main_context_.stop();
        return;
      }
      WaitUntilDrained(kDrainPollInterval);
    });
  }

  settings::JobServerSettings settings_;
  std::string settings_path_;
  std::string settings_text_;
  telemetry::Metrics metrics_;
  JobRings rings_;
  Duty main_duty_{"main"};  // Never started: its context is run by Run.
  asio::io_context& main_context_ = main_duty_.context();
  EventLog log_;
  Duty front_duty_{"job_front", LogFailure};
  Duty store_duty_{"store_link", LogFailure};
  Duty dispatch_duty_{"dispatch", LogFailure};
  Duty worker_duty_{"worker_link", LogFailure};
  Duty peer_duty_{"peer_link", LogFailure};
  Duty telemetry_duty_{"telemetry", LogFailure};
  Duty configuration_duty_{"config_link", LogFailure};
  std::array<Duty*, 7> duties_{
      &front_duty_, &store_duty_,         &dispatch_duty_, &worker_duty_,
      &peer_duty_,  &configuration_duty_, &telemetry_duty_};
  JobFront front_;
  StoreLink store_;
  DispatchDuty dispatch_;
  WorkerLink workers_;
  PeerLink peers_;
  ConfigurationLink configuration_;
  TelemetryWriter telemetry_;
  TimePoint earliest_exit_;
  TimePoint latest_exit_;
  asio::steady_timer drain_timer_{main_context_};
  asio::steady_timer settings_timer_{main_context_};
};

JobServer::JobServer(const settings::JobServerSettings& settings,
                     const std::string& settings_path,
                     const site::SiteCodec& codec)
    : impl_(std::make_unique<Impl>(settings, settings_path, codec)) {}

JobServer::~JobServer() = default;

void JobServer::Run() { impl_->Run(); }

}  // namespace jasminespar::jobserver
