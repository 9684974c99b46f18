/// @file
/// Measures the time from the table's answer to an operator's change until the
/// change is in force, as it grows with routes, instances and the rate of
/// changes. Instances reach a table in memory over links of limited bandwidth.
/// CSV on stdout.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

#include "jasminespar/fleet/fleet_codec.h"
#include "jasminespar/jobs/configuration_change.h"
#include "jasminespar/jobserver/configuration_link.h"
#include "jasminespar/jobserver/peer_link.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/site_plan.h"
#include "jasminespar/standins/tcp_route.h"
#include "jasminespar/standins/watched_table_service.h"

namespace jasminespar::jobserver {
namespace {

namespace asio = boost::asio;
using runtime::Channel;
using runtime::ConnectConsumer;
using runtime::ConnectDuties;
using runtime::Duty;

constexpr std::uint64_t kSlowLinkBytesPerSecond = 1'250'000;  // 10 Mbit/s.
constexpr std::size_t kBytesPerRoute = 300;
constexpr std::size_t kRingCapacity = 1024;
constexpr int kChanges = 12;
constexpr Duration kTimeout = 60s;
const std::string kHost = "127.0.0.1";
const site::RowKey kConfigurationKey{"settings", "", "newest"};

jobs::SiteConfiguration MakeConfiguration(std::uint64_t version,
                                          std::size_t routes) {
  jobs::SiteConfiguration site;
  site.version = Revision{version};
  for (std::size_t i = 0; i < routes; ++i) {
    jobs::QueueConfiguration queue;
    queue.name.value = "route-" + std::to_string(i);
    queue.host = "jobs.example";
    queue.prefix = "/" + std::to_string(i) + "/";
    queue.service.value = "work";
    site.queues.push_back(std::move(queue));
  }
  site.queues.front().priority = static_cast<std::uint32_t>(version);
  return site;
}

/// @return the row's value: the encoded configuration behind its length, and
///     then as many bytes as a table's form has more.
std::string EncodeRow(const jobs::SiteConfiguration& site) {
  protocol::ConfigurationReply reply;
  reply.change = jobs::DifferenceOf(nullptr, site);
  const std::string encoded =
      protocol::Encode(protocol::JobPeerMessage(std::move(reply)));
  std::string value = std::to_string(encoded.size()) + "\n" + encoded;
  value.resize(std::max(value.size(), kBytesPerRoute * site.queues.size()));
  return value;
}

site::Decoded<jobs::SiteConfiguration> DecodeRow(const std::string& value) {
  const std::size_t end = value.find('\n');
  const std::size_t size = std::stoul(value.substr(0, end));
  protocol::JobPeerMessage message = protocol::DecodeJobPeerMessage(
      std::string_view(value).substr(end + 1, size));
  auto& reply = std::get<protocol::ConfigurationReply>(message);
  return *jobs::Apply(nullptr, std::move(reply.change));
}

site::SiteCodec MakeCodec() {
  site::SiteCodec codec = fleet::MakeFleetCodec();
  codec.table = standins::MakeWatchedTableCodec();
  codec.operators.configuration_table = kConfigurationKey.table;
  codec.operators.configuration_row = kConfigurationKey;
  codec.operators.decode_configuration = DecodeRow;
  return codec;
}

/// Configuration link and peer link of one instance. Messages to other duties
/// are dropped but for the configurations.
class Instance {
 public:
  using OnVersion = std::function<void(Revision, TimePoint)>;

  Instance(std::size_t index, std::uint16_t peer_port, std::uint16_t table_port,
           Duty& collector, OnVersion on_version)
      : id_{"instance-" + std::to_string(index)},
        address_{kHost, peer_port},
        peers_(peer_duty_, id_, address_, PeerLimits{},
               {to_store_, to_dispatch_, peers_to_front_, to_configuration_,
                peers_to_telemetry_},
               metrics_),
        configuration_(configuration_duty_, {kHost, table_port}, id_,
                       MakeCodec(),
                       {to_front_, configuration_to_dispatch_, read_ended_,
                        to_peers_, configuration_to_telemetry_},
                       metrics_) {
    ConnectConsumer(to_configuration_, peer_duty_, configuration_duty_,
                    configuration_);
    ConnectConsumer(to_peers_, configuration_duty_, peer_duty_, peers_);
    ConnectConsumer(members_, collector, peer_duty_, peers_);
    ConnectDuties(to_front_, configuration_duty_, collector,
                  [on_version](ToFront&& message) {
                    const auto& update = std::get<ConfigurationUpdate>(message);
                    on_version(update.configuration->version(),
                               runtime::SteadyNow());
                  });
    Drop(to_store_, peer_duty_, collector);
    Drop(to_dispatch_, peer_duty_, collector);
    Drop(peers_to_front_, peer_duty_, collector);
    Drop(peers_to_telemetry_, peer_duty_, collector);
    Drop(read_ended_, configuration_duty_, collector);
    Drop(configuration_to_dispatch_, configuration_duty_, collector);
    Drop(configuration_to_telemetry_, configuration_duty_, collector);
    asio::post(peer_duty_.context(), [this] { peers_.Start(); });
    asio::post(configuration_duty_.context(),
               [this] { configuration_.Start(); });
  }

  void Start() {
    peer_duty_.Start();
    configuration_duty_.Start();
  }
  void Stop() {
    peer_duty_.Stop();
    configuration_duty_.Stop();
  }

  /// Must be called on the collector's thread.
  void Introduce(const Instance& peer) {
    members_.Send(MemberAddress{peer.id_, peer.address_});
  }

 private:
  template <typename Message>
  static void Drop(Channel<Message>& channel, Duty& producer, Duty& consumer) {
    ConnectDuties(channel, producer, consumer, [](Message&&) {});
  }

  InstanceId id_;
  configuration::Address address_;
  telemetry::Metrics metrics_;
  Duty peer_duty_{"peer_link"};
  Duty configuration_duty_{"config_link"};
  Channel<PeersToStore> to_store_{kRingCapacity};
  Channel<ToDispatch> to_dispatch_{kRingCapacity};
  Channel<ToFront> peers_to_front_{kRingCapacity};
  Channel<ToConfiguration> to_configuration_{kRingCapacity};
  Channel<ToTelemetry> peers_to_telemetry_{kRingCapacity};
  Channel<ToFront> to_front_{kRingCapacity};
  Channel<ToDispatch> configuration_to_dispatch_{kRingCapacity};
  Channel<ConfigurationToStore> read_ended_{kRingCapacity};
  Channel<ToPeers> to_peers_{kRingCapacity};
  Channel<ToTelemetry> configuration_to_telemetry_{kRingCapacity};
  Channel<ToPeers> members_{kRingCapacity};
  PeerLink peers_;
  ConfigurationLink configuration_;
};

struct Setting {
  std::size_t routes;
  std::size_t instances;
  std::size_t fast;   ///< Instances whose link has no limit.
  Duration interval;  ///< Between two changes.
};

/// A table and instances that follow its configuration.
class Site {
 public:
  explicit Site(const Setting& setting) : setting_(setting) {
    const auto count = static_cast<std::uint16_t>(setting.instances);
    const std::uint16_t first =
        standins::FindFreePorts(static_cast<std::uint16_t>(2 * count + 1));
    asio::io_context& context = collector_.context();
    table_ = std::make_unique<standins::WatchedTableService>(context, first);
    table_->Start();
    for (std::uint16_t i = 0; i < count; ++i) {
      const auto link_port = static_cast<std::uint16_t>(first + 1 + i);
      links_.push_back(
          std::make_shared<standins::TcpRoute>(context, link_port, first, i));
      standins::LinkFaults limit;
      if (i >= setting.fast) limit.bytes_per_second = kSlowLinkBytesPerSecond;
      links_.back()->SetFaults(limit);
      links_.back()->Start();
      instances_.push_back(std::make_unique<Instance>(
          i, static_cast<std::uint16_t>(first + 1 + count + i), link_port,
          collector_, [this, i](Revision version, TimePoint at) {
            in_force_[i][version.value] = at;
          }));
    }
    asio::post(context, [this] {
      for (auto& one : instances_) {
        for (const auto& other : instances_) one->Introduce(*other);
      }
    });
    Put(1);
    collector_.Start();
    for (auto& instance : instances_) instance->Start();
  }

  ~Site() {
    for (auto& instance : instances_) instance->Stop();
    collector_.Stop();
  }

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// @return the delays of all changes at all instances; empty when one did not
  ///     come into force in time.
  std::vector<Duration> Measure() {
    if (!WaitForVersion(1)) return {};
    // The first reads have ended, and the instances have heard of each other.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
      asio::post(collector_.context(), [this, version] { Put(version); });
      std::this_thread::sleep_for(setting_.interval);
    }
    if (!WaitForVersion(1 + kChanges)) return {};
    return RunOnCollector([this] { return Delays(); });
  }

 private:
  void Put(std::uint64_t version) {
    std::string& row = rows_[version];
    if (row.empty()) {
      row = EncodeRow(MakeConfiguration(version, setting_.routes));
    }
    put_at_[version] = runtime::SteadyNow();
    table_->Put(kConfigurationKey, row);
  }

  template <typename Function>
  std::invoke_result_t<Function> RunOnCollector(Function function) {
    std::promise<std::invoke_result_t<Function>> result;
    asio::post(collector_.context(), [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  bool WaitForVersion(std::uint64_t version) {
    const TimePoint deadline = runtime::SteadyNow() + kTimeout;
    while (runtime::SteadyNow() < deadline) {
      const bool reached = RunOnCollector([&] {
        return in_force_.size() == instances_.size() &&
               std::all_of(in_force_.begin(), in_force_.end(),
                           [version](const auto& instance) {
                             return instance.second.rbegin()->first >= version;
                           });
      });
      if (reached) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  /// A later version in force includes the change.
  std::vector<Duration> Delays() const {
    std::vector<Duration> delays;
    for (const auto& [instance, versions] : in_force_) {
      for (std::uint64_t version = 2; version < 2 + kChanges; ++version) {
        delays.push_back(versions.lower_bound(version)->second -
                         put_at_.at(version));
      }
    }
    std::sort(delays.begin(), delays.end());
    return delays;
  }

  Setting setting_;
  Duty collector_{"collector"};
  std::unique_ptr<standins::WatchedTableService> table_;
  std::vector<std::shared_ptr<standins::TcpRoute>> links_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<std::uint64_t, std::string> rows_;
  std::map<std::uint64_t, TimePoint> put_at_;
  std::map<std::size_t, std::map<std::uint64_t, TimePoint>> in_force_;
};

void Print(const Setting& setting, const std::vector<Duration>& delays) {
  std::printf("%zu,%zu,%zu,%lld,", setting.routes, setting.instances,
              setting.fast,
              static_cast<long long>(ToMilliseconds(setting.interval)));
  if (delays.empty()) {
    std::printf("not in force,\n");
  } else {
    std::printf(
        "%lld,%lld\n",
        static_cast<long long>(ToMilliseconds(delays[delays.size() / 2])),
        static_cast<long long>(ToMilliseconds(delays.back())));
  }
  std::fflush(stdout);
}

void Run() {
  std::printf(
      "routes,instances,fast instances,ms between changes,median ms,last "
      "ms\n");
  std::vector<Setting> settings;
  for (const std::size_t routes : {100, 1'000, 4'000, 8'000}) {
    settings.push_back({routes, 12, 2, 1s});
  }
  for (const std::size_t instances : {3, 6, 24}) {
    settings.push_back({4'000, instances, 2, 1s});
  }
  for (const Duration interval : {300ms, 100ms}) {
    settings.push_back({4'000, 12, 2, interval});
  }
  for (const std::size_t routes : {100, 1'000, 4'000, 8'000}) {
    settings.push_back({routes, 6, 0, 300ms});
  }
  for (const Setting& setting : settings) {
    Site site(setting);
    Print(setting, site.Measure());
  }
}

}  // namespace
}  // namespace jasminespar::jobserver

int main() { jasminespar::jobserver::Run(); }
