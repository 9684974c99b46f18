#include "jasminespar/standins/site_plan.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <stdexcept>

namespace jasminespar::standins {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Sizes of one kind of site.
struct SiteShape {
  SiteKind kind;
  std::vector<int> instances;  ///< By data centre.
  int workers_per_data_centre = 0;
  std::uint32_t workers_per_rack = 1;
};

const SiteShape& ShapeOf(SiteKind kind) {
  static const std::vector<SiteShape> kShapes = {
      {SiteKind::kSmall, {2, 2}, 4, 2},
      {SiteKind::kSaoMai, {2, 2, 2}, 17, 8},
      {SiteKind::kLoneStar, {2, 2, 1, 1}, 13, 6},
  };
  return kShapes[static_cast<std::size_t>(kind)];
}

constexpr int kPortsPerInstance = 4;
constexpr int kPortsPerWorker = 2;
constexpr int kSharedPorts = 3;

int InstanceCount(const SiteShape& shape) {
  int count = 0;
  for (const int instances : shape.instances) count += instances;
  return count;
}

int WorkerCount(const SiteShape& shape) {
  return shape.workers_per_data_centre *
         static_cast<int>(shape.instances.size());
}

/// @return whether the port is free for TCP and UDP.
bool IsFree(asio::io_context& context, std::uint16_t port) {
  const auto host = asio::ip::address_v4::loopback();
  boost::system::error_code error;
  asio::ip::tcp::socket tcp(context, asio::ip::tcp::v4());
  tcp.bind({host, port}, error);
  if (error) return false;
  asio::ip::udp::socket udp(context, asio::ip::udp::v4());
  udp.bind({host, port}, error);
  return !error;
}

json MakeRoute(const std::string& name, std::string_view protocol,
               std::uint16_t port, std::uint16_t target) {
  return {{"name", name},
          {"protocol", protocol},
          {"port", port},
          {"target_port", target}};
}

json MakeAccount(int number, double weight, int workers_each) {
  json guarantee = {{"level", "worker"}, {"count", workers_each}};
  return {{"id", "account-" + std::to_string(number)},
          {"weight", weight},
          {"guarantees", json::array({std::move(guarantee)})}};
}

}  // namespace

std::uint16_t PortCount(SiteKind kind) {
  const SiteShape& shape = ShapeOf(kind);
  return static_cast<std::uint16_t>(kSharedPorts +
                                    kPortsPerInstance * InstanceCount(shape) +
                                    kPortsPerWorker * WorkerCount(shape));
}

SitePlan PlanSite(SiteKind kind, std::uint16_t first_port) {
  const SiteShape& shape = ShapeOf(kind);
  SitePlan plan;
  std::uint16_t port = first_port;
  plan.platform_port = port++;
  plan.proxy_admin_port = port++;
  plan.workers_admin_port = port++;
  for (std::size_t i = 0; i < shape.instances.size(); ++i) {
    const char letter = static_cast<char>('a' + i);
    plan.data_centres.push_back({std::string("dc-") + letter});
    for (int n = 1; n <= shape.instances[i]; ++n) {
      PlannedInstance instance;
      instance.id.value = letter + std::to_string(n);
      instance.data_centre = plan.data_centres.back();
      instance.caller_port = port++;
      instance.peer_port = port++;
      instance.proxied_peer_port = port++;
      instance.proxied_platform_port = port++;
      plan.instances.push_back(std::move(instance));
    }
  }
  const auto workers = static_cast<std::uint16_t>(WorkerCount(shape));
  for (std::uint16_t i = 0; i < workers; ++i) {
    PlannedWorker worker;
    const auto index =
        static_cast<std::uint32_t>(i % shape.workers_per_data_centre);
    worker.id.value = i + std::uint64_t{1};
    worker.data_centre = plan.data_centres[static_cast<std::size_t>(
        i / shape.workers_per_data_centre)];
    worker.rack = index / shape.workers_per_rack;
    worker.port = static_cast<std::uint16_t>(port + i);
    worker.proxied_port = static_cast<std::uint16_t>(port + workers + i);
    plan.workers.push_back(std::move(worker));
  }
  return plan;
}

std::uint16_t FindFreePorts(std::uint16_t count) {
  // Below the ports that the kernel assigns to outgoing connections. The
  // process id selects where to begin, so that processes that search at the
  // same time find different ports.
  constexpr std::uint32_t kFirst = 10'000;
  constexpr std::uint32_t kEnd = 32'000;
  constexpr std::uint32_t kStride = 577;
  asio::io_context context;
  const std::uint32_t span = kEnd - kFirst - count;
  std::uint32_t offset = static_cast<std::uint32_t>(getpid()) * kStride % span;
  for (std::uint32_t tries = 0; tries < kEnd - kFirst; ++tries) {
    const std::uint32_t first = kFirst + offset;
    std::uint32_t port = first;
    while (port < first + count &&
           IsFree(context, static_cast<std::uint16_t>(port))) {
      ++port;
    }
    if (port == first + count) return static_cast<std::uint16_t>(first);
    offset = (offset + (port - first) + 1) % span;
  }
  throw std::runtime_error("no " + std::to_string(count) +
                           " consecutive free ports");
}

json MakeInstanceList(const SitePlan& plan,
                      const std::vector<WorkerId>& leaving) {
  json entries = json::array();
  for (const PlannedInstance& instance : plan.instances) {
    entries.push_back({{"id", instance.id.value},
                       {"data_centre", instance.data_centre.value},
                       {"host", "127.0.0.1"},
                       {"caller_port", instance.caller_port},
                       {"peer_port", instance.proxied_peer_port},
                       {"state", "live"}});
  }
  json workers = json::array();
  for (const PlannedWorker& worker : plan.workers) {
    const bool leaves =
        std::find(leaving.begin(), leaving.end(), worker.id) != leaving.end();
    workers.push_back({{"id", worker.id.value},
                       {"data_centre", worker.data_centre.value},
                       {"rack", worker.rack},
                       {"accelerators", plan.accelerators_per_worker},
                       {"host", "127.0.0.1"},
                       {"port", worker.proxied_port},
                       {"state", leaves ? "leaving" : "live"}});
  }
  return {{"entries", std::move(entries)}, {"workers", std::move(workers)}};
}

json MakeProxyRoutes(const SitePlan& plan) {
  json routes = json::array();
  for (const PlannedInstance& instance : plan.instances) {
    const std::string& id = instance.id.value;
    const std::string peer =
        "peer/" + instance.data_centre.value + "/" + id + "/";
    routes.push_back(
        MakeRoute("platform/" + instance.data_centre.value + "/" + id, "tcp",
                  instance.proxied_platform_port, plan.platform_port));
    routes.push_back(MakeRoute(peer + "tcp", "tcp", instance.proxied_peer_port,
                               instance.peer_port));
    routes.push_back(MakeRoute(peer + "udp", "udp", instance.proxied_peer_port,
                               instance.peer_port));
  }
  for (const PlannedWorker& worker : plan.workers) {
    routes.push_back(
        MakeRoute("endpoint/" + std::to_string(worker.id.value) + "/", "tcp",
                  worker.proxied_port, worker.port));
  }
  return routes;
}

std::string MakeInstanceSettings(const PlannedInstance& instance,
                                 std::string_view extra) {
  const std::string host = "host = 127.0.0.1\n";
  const auto port = [](std::uint16_t number) {
    return "port = " + std::to_string(number) + "\n";
  };
  std::string text = "[instance]\nid = " + instance.id.value +
                     "\ndata_centre = " + instance.data_centre.value + "\n";
  text += "[callers]\n" + host + port(instance.caller_port);
  text += "[peers]\n" + host + port(instance.peer_port);
  text +=
      "advertised_" + host + "advertised_" + port(instance.proxied_peer_port);
  text += "[platform]\n" + host + port(instance.proxied_platform_port);
  text += extra;
  return text;
}

json MakeFirstNote(int accounts, int workers_each) {
  json added = json::array();
  for (int i = 0; i < accounts; ++i) {
    added.push_back(MakeAccount(i, 1.0, workers_each));
  }
  json service = {{"id", "match"}};
  return {{"id", "first"},
          {"base", 0},
          {"title", "accounts and service of the stand-in site"},
          {"accounts", {{"added", std::move(added)}}},
          {"services", {{"added", json::array({std::move(service)})}}}};
}

json MakeWeightNote(const std::string& id, std::uint64_t base, int account,
                    double weight, int workers_each) {
  json changed = MakeAccount(account, weight, workers_each);
  return {{"id", id},
          {"base", base},
          {"accounts", {{"changed", json::array({std::move(changed)})}}}};
}

}  // namespace jasminespar::standins
