#include "jobserver/job_site.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <sstream>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/fleet/fleet_codec.h"
#include "jasminespar/http/client.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/site_plan.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t kPortsPerInstance = 5;
constexpr Duration kServedTimeout = 25s;
constexpr std::chrono::milliseconds kPollInterval{20};
const std::string kHost = "jobs.example";

const site::RowKey kConfigurationKey{"settings", "", "newest"};

std::string Encode(const SiteText& text) {
  std::ostringstream lines;
  lines << text.version << '\n';
  const std::string padding(text.padding, '.');
  for (std::size_t i = 0; i < text.queues; ++i) {
    lines << "queue-" << i << " /queue-" << i << "/ " << padding << '\n';
  }
  return lines.str();
}

site::Decoded<jobs::SiteConfiguration> DecodeConfiguration(
    const std::string& text) {
  std::istringstream lines(text);
  jobs::SiteConfiguration configuration;
  lines >> configuration.version.value;
  jobs::QueueConfiguration queue;
  queue.host = kHost;
  queue.service.value = "work";
  queue.is_public = true;
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    std::istringstream(line) >> queue.name.value >> queue.prefix;
    configuration.queues.push_back(queue);
  }
  return configuration;
}

site::SiteCodec MakeCodec() {
  site::SiteCodec codec = fleet::MakeFleetCodec();
  codec.table = standins::MakeWatchedTableCodec();
  codec.operators.configuration_table = kConfigurationKey.table;
  codec.operators.configuration_row = kConfigurationKey;
  codec.operators.decode_configuration = DecodeConfiguration;
  return codec;
}

site::RowKey EvacuationKey(const std::string& data_centre) {
  const site::RowRange rows = MakeCodec().operators.evacuations;
  return {rows.table, rows.partition, rows.from + data_centre};
}

}  // namespace

JobSite::JobSite(std::size_t instances)
    : first_port_(standins::FindFreePorts(
          static_cast<std::uint16_t>(instances * kPortsPerInstance + 1))),
      servers_(instances) {
  asio::io_context& context = table_duty_.context();
  const std::uint16_t table_port = PortsOf(instances).callers;
  table_ = std::make_unique<standins::WatchedTableService>(context, table_port);
  table_->Start();
  for (std::size_t i = 0; i < instances; ++i) {
    links_.push_back(std::make_shared<standins::TcpRoute>(
        context, PortsOf(i).table, table_port, i));
    links_.back()->Start();
  }
  table_duty_.Start();
}

JobSite::~JobSite() {
  // Every instance handles the signal; they run in this process.
  if (!threads_.empty()) std::raise(SIGTERM);
  for (std::thread& thread : threads_) thread.join();
  servers_.clear();
  table_duty_.Stop();
}

JobSite::Ports JobSite::PortsOf(std::size_t instance) const {
  const auto first =
      static_cast<std::uint16_t>(first_port_ + instance * kPortsPerInstance);
  const auto port = [first](int offset) {
    return static_cast<std::uint16_t>(first + offset);
  };
  return {port(0), port(1), port(2), port(3), port(4)};
}

void JobSite::StartInstance(std::size_t instance) {
  const Ports ports = PortsOf(instance);
  const std::string host = "127.0.0.1";
  settings::JobServerSettings settings;
  settings.instance.value = "instance-" + std::to_string(instance);
  settings.caller_address = {host, ports.callers};
  settings.readiness_address = {host, ports.readiness};
  settings.metrics_address = {host, ports.metrics};
  settings.peer_address = {host, ports.peers};
  settings.table_address = {host, ports.table};
  settings.memory_bytes = 256U << 20;
  settings.max_lease = 10s;
  settings.status_retention = retention_;
  settings.stop_limit = 900ms;
  settings.entry_interval = 1500ms;
  settings.reclaim_within = 3s;
  settings.evacuate_within = evacuate_within_;
  settings.shutdown_grace = 6s;
  settings.max_connections = 64;
  settings.client_memory_percent = 40;
  settings.max_framing_bytes = 16U << 10;
  settings.max_peer_connections = 64;
  settings.max_probe_connections = 64;
  settings.ring_capacity = 1024;
  servers_[instance] =
      std::make_unique<JobServer>(settings, "no-settings-file", MakeCodec());
  threads_.emplace_back([server = servers_[instance].get()] { server->Run(); });
}

void JobSite::SetTableLink(std::size_t instance,
                           const standins::LinkFaults& faults) {
  RunOnTableDuty([&] { links_[instance]->SetFaults(faults); });
}

void JobSite::PutConfiguration(const SiteText& text) {
  RunOnTableDuty([&] { table_->Put(kConfigurationKey, Encode(text)); });
}

void JobSite::PutWorkerEntry(const std::string& name, const std::string& text) {
  const site::OperatorCodec operators = MakeCodec().operators;
  const site::RowKey key{std::string(operators.worker_table),
                         std::string(operators.worker_partition), name};
  RunOnTableDuty([&] { table_->Put(key, text); });
}

void JobSite::EmptyDataCentre(const std::string& name) {
  RunOnTableDuty([&] { table_->Put(EvacuationKey(name), "{}"); });
}

void JobSite::TakeDataCentreBack(const std::string& name) {
  RunOnTableDuty([&] { table_->Delete(EvacuationKey(name)); });
}

std::string JobSite::MetricsOf(std::size_t instance) const {
  http::Request request;
  request.target = "/metrics";
  asio::io_context context{1};
  http::Client client(context, "127.0.0.1", PortsOf(instance).metrics, 1);
  auto response = asio::co_spawn(context, client.Send(std::move(request), 5s),
                                 asio::use_future);
  context.run();
  try {
    return response.get().body;
  } catch (const Error&) {
    return {};
  }
}

bool JobSite::WaitForMetric(std::size_t instance, const std::string& line) {
  const TimePoint deadline = runtime::SteadyNow() + kServedTimeout;
  while (runtime::SteadyNow() < deadline) {
    if (MetricsOf(instance).find(line + '\n') != std::string::npos) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void JobSite::DropHistory() {
  RunOnTableDuty([this] { table_->DropHistory(); });
}

std::uint64_t JobSite::TableLinkBytes(std::size_t instance) {
  std::uint64_t bytes = 0;
  RunOnTableDuty([&] { bytes = links_[instance]->bytes(); });
  return bytes;
}

bool JobSite::WaitUntilServed(std::size_t instance, const std::string& queue) {
  const TimePoint deadline = runtime::SteadyNow() + kServedTimeout;
  while (runtime::SteadyNow() < deadline) {
    if (StatusOf(instance, queue) == 200) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

int JobSite::StatusOf(std::size_t instance, const std::string& queue) {
  return Call(instance, "GET", "/" + queue + "/");
}

int JobSite::Call(std::size_t instance, const std::string& method,
                  const std::string& target, std::string body) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.headers = {{"Host", kHost}, {"Content-Type", "application/json"}};
  request.body = std::move(body);
  asio::io_context context{1};
  http::Client client(context, "127.0.0.1", PortsOf(instance).callers, 1);
  auto response = asio::co_spawn(context, client.Send(std::move(request), 5s),
                                 asio::use_future);
  context.run();
  try {
    return response.get().status;
  } catch (const Error&) {
    return 0;
  }
}

std::size_t JobSite::RowsNaming(const std::string& text) {
  std::size_t rows = 0;
  RunOnTableDuty([&] { rows = table_->RowsNaming(text); });
  return rows;
}

void JobSite::RunOnTableDuty(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(table_duty_.context(), [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace jasminespar::jobserver
