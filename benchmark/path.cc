/// @file
/// Compares calls through jasmined with direct calls to a stand-in endpoint, in
/// one run: latency, throughput and CPU time per call, and the CPU and memory
/// of an idle instance. Prints a Markdown table.

#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/endpoint/worker_client.h"
#include "jasminespar/http/client.h"
#include "jasminespar/membership/routing.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/load_plan.h"
#include "jasminespar/standins/site.h"

namespace jasminespar::standins {
namespace {

namespace asio = boost::asio;

constexpr int kWarmUpCalls = 200;
constexpr int kCalls = 3000;
constexpr int kSaturationCalls = 12'000;
constexpr int kSaturationClients = 64;
constexpr Duration kIdleTime = 10s;
constexpr char kBody[] = "run_ms=0";

struct Usage {
  double cpu_seconds = 0;
  double resident_megabytes = 0;
};

Usage ReadUsage(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)),
                   std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  const std::vector<std::string> values{
      std::istream_iterator<std::string>(fields),
      std::istream_iterator<std::string>()};
  // utime, stime and rss: fields 14, 15 and 24 in proc(5). values[0] is
  // field 3.
  const double ticks = std::stod(values.at(11)) + std::stod(values.at(12));
  const double pages = std::stod(values.at(21));
  constexpr double kBytesPerMegabyte = 1e6;
  return {
      ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
      pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte};
}

/// Sends call `number`.
/// @return whether it was answered.
using SendCall = std::function<asio::awaitable<bool>(int number)>;

struct Measurement {
  std::vector<double> milliseconds;  ///< Latency of each call; sorted.
  int failed = 0;
  double seconds = 0;  ///< Total time.
};

/// Calls that are sent by several concurrent clients.
struct Workload {
  SendCall send_call;
  int calls = 0;
  int next = 0;
  int active = 0;  ///< Clients that have not finished.
  Measurement measurement;
};

asio::awaitable<void> RunClient(asio::io_context& context, Workload& workload) {
  while (workload.next < workload.calls) {
    const int number = workload.next++;
    const TimePoint begun = runtime::SteadyNow();
    const bool answered = co_await workload.send_call(number);
    const Duration taken = runtime::SteadyNow() - begun;
    workload.measurement.failed += answered ? 0 : 1;
    workload.measurement.milliseconds.push_back(
        static_cast<double>(taken.count()) / 1000.0);
  }
  if (--workload.active == 0) context.stop();
}

Measurement Measure(asio::io_context& context, int clients, int calls,
                    SendCall send_call) {
  Workload workload{std::move(send_call), calls, 0, clients, {}};
  const TimePoint begun = runtime::SteadyNow();
  for (int i = 0; i < clients; ++i) {
    asio::co_spawn(context, RunClient(context, workload), asio::detached);
  }
  context.run();
  context.restart();
  const Duration taken = runtime::SteadyNow() - begun;
  workload.measurement.seconds = static_cast<double>(taken.count()) / 1e6;
  std::sort(workload.measurement.milliseconds.begin(),
            workload.measurement.milliseconds.end());
  return std::move(workload.measurement);
}

double Percentile(const std::vector<double>& sorted, double share) {
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted.at(index);
}

void PrintRow(const std::string& name, const Measurement& measurement,
              double cpu_seconds) {
  const auto calls = static_cast<double>(measurement.milliseconds.size());
  std::printf("| %s | %.3f | %.3f | %.0f | %.0f | %d |\n", name.c_str(),
              Percentile(measurement.milliseconds, 0.5),
              Percentile(measurement.milliseconds, 0.99),
              calls / measurement.seconds, cpu_seconds / calls * 1e6,
              measurement.failed);
}

/// Sends idempotent calls to an instance.
/// @param keys idempotency key of each call.
SendCall CallThroughInstance(http::Client& client,
                             std::vector<std::string> keys) {
  return
      [&client, keys = std::move(keys)](int number) -> asio::awaitable<bool> {
        http::Request request;
        request.method = "POST";
        request.target = "/v1/services/match/calls";
        request.headers = {{"Jasminespar-Account", "account-0"},
                           {"Idempotency-Key", keys.at(number)}};
        request.body = kBody;
        const http::Response response =
            co_await client.Send(std::move(request), 10s);
        co_return response.status == 200;
      };
}

/// Makes the requests of an owner for one task: order, report, answer.
/// @param after change number of the latest report; updated.
SendCall CallEndpointDirectly(endpoint::WorkerClient& worker, WorkerId id,
                              std::uint64_t& after) {
  return [&worker, id, &after](int number) -> asio::awaitable<bool> {
    cell::TaskOrder order;
    order.task = {CallId{1, static_cast<std::uint64_t>(number) + 1},
                  jasminespar::Attempt{1}, id};
    order.cell.value = "bench/0";
    order.epoch = {1, 0};
    order.accelerators = 1;
    order.start_now = true;
    order.body = kBody;
    const cell::TaskRef task = order.task;
    const endpoint::CellRef cell{order.cell, order.epoch};
    co_await worker.SendOrder(std::move(order));
    while (true) {
      endpoint::Report report = co_await worker.FetchReport(cell, after, 1s);
      after = report.change;
      for (const cell::ReportedTask& reported : report.tasks) {
        if (reported.task != task || !HasEnded(reported.state)) continue;
        const Answer answer = co_await worker.FetchAnswer(cell, reported);
        co_await worker.DeleteResult(cell, task);
        co_return !answer.body.empty();
      }
    }
  };
}

/// @return `count` idempotency keys whose home cell is `home`.
std::vector<std::string> MakeKeys(
    const CellId& home, int count, const std::string& prefix,
    const std::vector<membership::WeightedCell>& cells) {
  std::vector<std::string> keys;
  for (int i = 0; static_cast<int>(keys.size()) < count; ++i) {
    std::string key = prefix + std::to_string(i);
    const CallId id = IdOf({{"account-0"}, {"match"}, key});
    if (membership::HomeCell(id, cells) == home) keys.push_back(std::move(key));
  }
  return keys;
}

class PathBenchmark {
 public:
  PathBenchmark() : site_(SiteOptions{}) {
    site_.StartAllInstances();
    std::string fault;
    while (!site_.ApplyReleaseNote(MakeFirstNote(1, 1), fault)) {
      std::this_thread::sleep_for(100ms);
    }
    if (!site_.WaitUntilAllReady(30s)) throw std::runtime_error("not ready");
    FindOwner();
  }

  void Run() {
    PrintIdle();
    std::printf(
        "\n| path | p50 ms | p99 ms | calls/s | CPU us/call of the instances "
        "| failed |\n|---|---|---|---|---|---|\n");
    MeasureDirect();
    MeasureInstance("owner asked, one caller", owner_, 1, kCalls);
    MeasureInstance("another instance asked, one caller", non_owner_, 1,
                    kCalls);
    MeasureInstance("owner asked, 64 callers", owner_, kSaturationClients,
                    kSaturationCalls);
    site_.SetStoreFault({{"mode", "slow"}, {"delay_ms", 1000}});
    MeasureInstance("owner asked, store 1 s slow", owner_, 1, kCalls);
  }

 private:
  /// Finds the owner of the first cell, and an instance that must forward to
  /// it.
  void FindOwner() {
    std::map<std::string, double> weights;
    for (const PlannedWorker& worker : site_.plan().workers) {
      weights[worker.data_centre.value + "/0"] +=
          site_.plan().accelerators_per_worker;
    }
    for (const auto& [id, weight] : weights) cells_.push_back({{id}, weight});
    http::Client client(context_, "127.0.0.1",
                        site_.plan().instances.at(0).caller_port, 1);
    std::string owner;
    while (owner.empty()) {
      Measure(context_, 1, 1, [&](int) -> asio::awaitable<bool> {
        http::Request request;
        request.target = "/v1/cells";
        const http::Response response =
            co_await client.Send(std::move(request), 5s);
        const auto body = nlohmann::json::parse(response.body);
        for (const auto& cell : body.at("cells")) {
          if (cell.at("id") == cells_[0].cell.value) owner = cell.at("owner");
        }
        co_return true;
      });
      std::this_thread::sleep_for(100ms);
    }
    for (std::size_t i = 0; i < site_.plan().instances.size(); ++i) {
      (site_.plan().instances[i].id.value == owner ? owner_ : non_owner_) = i;
    }
  }

  double InstancesCpu() {
    double sum = 0;
    for (std::size_t i = 0; i < site_.plan().instances.size(); ++i) {
      sum += ReadUsage(site_.instance(i).pid()).cpu_seconds;
    }
    return sum;
  }

  void PrintIdle() {
    const pid_t pid = site_.instance(owner_).pid();
    const Usage before = ReadUsage(pid);
    std::this_thread::sleep_for(kIdleTime);
    const Usage after = ReadUsage(pid);
    const double seconds = static_cast<double>(kIdleTime.count()) / 1e6;
    std::printf("idle owner: %.2f%% of a core, %.1f MB resident\n",
                (after.cpu_seconds - before.cpu_seconds) / seconds * 100,
                after.resident_megabytes);
  }

  void MeasureDirect() {
    const PlannedWorker& planned = site_.plan().workers.back();
    endpoint::WorkerClient worker(context_, {"127.0.0.1", planned.port}, 4, 5s);
    std::uint64_t after = 0;
    const Measurement measurement = Measure(
        context_, 1, kCalls, CallEndpointDirectly(worker, planned.id, after));
    PrintRow("endpoint straight: order, report, answer, one caller",
             measurement, 0);
  }

  void MeasureInstance(const std::string& name, std::size_t index, int clients,
                       int calls) {
    http::Client client(context_, "127.0.0.1",
                        site_.plan().instances.at(index).caller_port, clients);
    const std::string prefix = std::to_string(++series_) + "-";
    Measure(context_, clients, kWarmUpCalls,
            CallThroughInstance(client, MakeKeys(cells_[0].cell, kWarmUpCalls,
                                                 "w" + prefix, cells_)));
    std::vector<std::string> keys =
        MakeKeys(cells_[0].cell, calls, "k" + prefix, cells_);
    const double before = InstancesCpu();
    const Measurement measurement = Measure(
        context_, clients, calls, CallThroughInstance(client, std::move(keys)));
    PrintRow(name, measurement, InstancesCpu() - before);
  }

  Site site_;
  asio::io_context context_{1};
  std::vector<membership::WeightedCell> cells_;
  std::size_t owner_ = 0;
  std::size_t non_owner_ = 0;
  int series_ = 0;
};

}  // namespace
}  // namespace jasminespar::standins

int main() {
  jasminespar::standins::PathBenchmark benchmark;
  benchmark.Run();
}
