/// @file
/// Duty configuration link: follows the operator's configuration in the table
/// and at the peers, and serves it to peers.

#ifndef JASMINESPAR_JOBSERVER_CONFIGURATION_LINK_H_
#define JASMINESPAR_JOBSERVER_CONFIGURATION_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/jobs/configuration_snapshot.h"
#include "jasminespar/jobs/configuration_sync.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/site/table_exchange.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only. The version in force never goes back.
class ConfigurationLink {
 public:
  struct Rings {
    runtime::Channel<ToFront>& front;
    runtime::Channel<ToDispatch>& dispatch;
    runtime::Channel<ConfigurationToStore>& store;
    runtime::Channel<ToPeers>& peers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  ConfigurationLink(runtime::Duty& duty,
                    const configuration::Address& table_address,
                    const InstanceId& self, const site::SiteCodec& codec,
                    const Rings& rings, telemetry::Metrics& metrics);

  void Start();
  void Handle(ToConfiguration message);

 private:
  using Coroutine = boost::asio::awaitable<void>;
  using Snapshot = std::shared_ptr<const jobs::ConfigurationSnapshot>;

  /// Where a version comes from, for the log.
  struct Origin {
    std::string source;
    site::RowVersion row;
    std::size_t bytes = 0;
    Duration transfer{};
    Duration decoding{};
  };

  void On(PeerConfigurations& peers);
  void On(const PeerAsksForConfiguration& ask);
  void On(PeerConfigurationReceived& received);

  /// Reads the table whenever that is due.
  Coroutine FollowTable();
  Coroutine ReadTable();
  [[nodiscard]] site::TableRequest NextRequest();
  [[nodiscard]] http::ExchangeLimits LimitsOf(
      const site::TableRequest& request) const;
  /// @param sent_at time of the request.
  void HandlePage(const site::RowPage& page, const site::TableAnswer& answer,
                  TimePoint sent_at);
  void HandleRow(const site::Row& row, const site::TableAnswer& answer,
                 TimePoint sent_at);

  void AskPeerIfBehind();
  /// Brings a configuration into force if it is newer than the present one. The
  /// caller publishes it, once it is known whether the table confirms it.
  void Adopt(jobs::SiteConfiguration configuration, const Origin& origin);
  void KeepAsBase(Snapshot snapshot);
  /// @return the message with the change from a version held by a peer.
  [[nodiscard]] std::shared_ptr<const std::string> ChangeFrom(Revision held);
  void PublishOwn();

  runtime::Duty& duty_;
  site::OperatorCodec codec_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  site::TableExchange table_;
  jobs::ConfigurationSync sync_;
  std::mt19937_64 random_;
  Snapshot current_;
  site::RowVersion row_;  ///< Table version that `current_` comes from.
  /// Older versions, newest last, from which peers get changes.
  std::deque<Snapshot> bases_;
  /// Encoded changes to `current_`, by the version that they start from.
  std::map<Revision, std::shared_ptr<const std::string>> changes_;
  site::RowVersion watched_after_;
  std::size_t last_row_bytes_ = 0;  ///< Of a response with one row.
  bool read_whole_ = true;          ///< Instead of watching for a change.
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_CONFIGURATION_LINK_H_
