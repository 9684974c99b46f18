#include "jasminespar/standins/site.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/http_exchange.h"

namespace jasminespar::standins {

using nlohmann::json;

namespace {

constexpr Duration kAdminTimeout = 5s;
constexpr Duration kPollInterval = 20ms;
constexpr Duration kStartTimeout = 10s;

std::string MakeTemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "jasminespar-site-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder: " + pattern);
  }
  return pattern;
}

/// Polls until the condition holds or `timeout` has passed.
/// @return whether it holds.
template <typename Condition>
bool WaitUntil(Duration timeout, Condition condition) {
  const TimePoint deadline = runtime::SteadyNow() + timeout;
  while (!condition()) {
    if (runtime::SteadyNow() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

/// @throws std::runtime_error unless the status is 200.
void RequireOk(const std::optional<http::Response>& response,
               const std::string& what) {
  if (response && response->status == 200) return;
  throw std::runtime_error(what + ": " +
                           (response ? response->body : "no response"));
}

}  // namespace

Site::Site(const SiteOptions& options)
    : options_(options),
      plan_(PlanSite(options.kind, FindFreePorts(PortCount(options.kind)))),
      folder_(MakeTemporaryFolder()) {
  StartStandins();
}

Site::~Site() {
  instances_.clear();
  standins_.clear();
  std::error_code ignored;
  if (!keep_folder_) std::filesystem::remove_all(folder_, ignored);
}

void Site::StartStandin(const std::string& name,
                        const std::vector<std::string>& arguments) {
  standins_.emplace(name, Process(arguments, folder_ + "/" + name + ".log"));
}

void Site::StartStandins() {
  const std::string programs = JASMINESPAR_BINARY_DIR "/standins/";
  StartStandin("platform", {programs + "standin_platform", "--port",
                            std::to_string(plan_.platform_port)});
  StartStandin("proxy", {programs + "fault_proxy", "--admin-port",
                         std::to_string(plan_.proxy_admin_port), "--seed",
                         std::to_string(options_.seed)});
  StartStandin(
      "workers",
      {programs + "standin_workers", "--first-port",
       std::to_string(plan_.workers.front().port), "--count",
       std::to_string(plan_.workers.size()), "--first-id", "1",
       "--accelerators", std::to_string(plan_.accelerators_per_worker),
       "--lease-ms", std::to_string(ToMilliseconds(options_.worker_lease)),
       std::string("--compare-epochs=") +
           (options_.compare_epochs ? "true" : "false"),
       "--admin-port", std::to_string(plan_.workers_admin_port)});
  const bool up = WaitUntil(kStartTimeout, [this] {
    return FetchJson(plan_.platform_port, "/admin/stats", kAdminTimeout) &&
           FetchJson(plan_.proxy_admin_port, "/admin/stats", kAdminTimeout) &&
           FetchJson(plan_.workers_admin_port, "/admin/runs", kAdminTimeout);
  });
  if (!up) {
    throw std::runtime_error("stand-ins did not start; logs in " + folder_);
  }
  SetLeaving({});
  RequireOk(PostJson(plan_.proxy_admin_port, "/admin/routes",
                     MakeProxyRoutes(plan_), kAdminTimeout),
            "routes");
}

void Site::StartInstance(std::size_t index) {
  const PlannedInstance& planned = plan_.instances.at(index);
  const std::string base = folder_ + "/" + planned.id.value;
  std::ofstream(base + ".ini") << MakeInstanceSettings(
      planned, "[cells]\nworker_lease = " +
                   std::to_string(ToMilliseconds(options_.worker_lease)) +
                   "ms\nhold = 1s\n[workers]\nreport_wait = 1s\n" +
                   options_.extra_settings);
  instances_.erase(index);
  instances_.emplace(index, Process({JASMINESPAR_BINARY_DIR "/apps/jasmined",
                                     "--settings", base + ".ini"},
                                    base + ".log"));
}

void Site::StartAllInstances() {
  for (std::size_t i = 0; i < plan_.instances.size(); ++i) StartInstance(i);
}

bool Site::WaitUntilReady(std::size_t index, Duration timeout) {
  const std::uint16_t port = plan_.instances.at(index).caller_port;
  return WaitUntil(timeout, [port] {
    http::Request request;
    request.target = "/readyz";
    const auto response = SendRequest(port, std::move(request), kAdminTimeout);
    return response && response->status == 200;
  });
}

bool Site::WaitUntilAllReady(Duration timeout) {
  const TimePoint deadline = runtime::SteadyNow() + timeout;
  for (const auto& [index, process] : instances_) {
    if (!WaitUntilReady(index, deadline - runtime::SteadyNow())) return false;
  }
  return true;
}

Process& Site::instance(std::size_t index) { return instances_.at(index); }

void Site::KillInstance(std::size_t index) {
  instance(index).Signal(SIGKILL);
  instance(index).WaitForEnd(kAdminTimeout);
}

std::optional<std::uint64_t> Site::ApplyReleaseNote(const json& note,
                                                    std::string& error) {
  for (const PlannedInstance& planned : plan_.instances) {
    const auto response =
        PostJson(planned.caller_port, "/v1/release-notes", note, kAdminTimeout);
    if (!response) continue;
    const json body = json::parse(response->body, nullptr, false);
    if (response->status == 200 && body.is_object()) {
      return body.value("revision", std::uint64_t{0});
    }
    error = response->body;
  }
  return std::nullopt;
}

bool Site::WaitForRevision(std::uint64_t revision, Duration timeout) {
  const TimePoint deadline = runtime::SteadyNow() + timeout;
  for (const auto& [index, process] : instances_) {
    const std::uint16_t port = plan_.instances[index].caller_port;
    const bool reached =
        WaitUntil(deadline - runtime::SteadyNow(), [port, revision] {
          const auto body = FetchJson(port, "/v1/configuration", kAdminTimeout);
          return body && body->is_object() &&
                 body->value("revision", std::uint64_t{0}) >= revision;
        });
    if (!reached) return false;
  }
  return true;
}

void Site::SetStoreFault(const json& fault) const {
  RequireOk(
      PostJson(plan_.platform_port, "/admin/faults", fault, kAdminTimeout),
      "store fault");
}

void Site::SetListLag(Duration lag) const {
  RequireOk(PostJson(plan_.platform_port, "/admin/list-lag",
                     {{"ms", ToMilliseconds(lag)}}, kAdminTimeout),
            "list lag");
}

void Site::SetLinkFault(const std::string& prefix, json fault) const {
  fault["route"] = prefix;
  RequireOk(
      PostJson(plan_.proxy_admin_port, "/admin/faults", fault, kAdminTimeout),
      "link fault");
}

void Site::SetWorkerFault(WorkerId worker, const json& fault) const {
  const PlannedWorker& planned = plan_.workers.at(worker.value - 1);
  RequireOk(PostJson(planned.port, "/admin/faults", fault, kAdminTimeout),
            "worker fault");
}

void Site::RestartWorker(WorkerId worker) const {
  const PlannedWorker& planned = plan_.workers.at(worker.value - 1);
  RequireOk(
      PostJson(planned.port, "/admin/restart", json::object(), kAdminTimeout),
      "worker restart");
}

void Site::SetLeaving(const std::vector<WorkerId>& leaving) const {
  RequireOk(PostJson(plan_.platform_port, "/admin/machines",
                     MakeInstanceList(plan_, leaving), kAdminTimeout),
            "machines");
}

json Site::Runs() const {
  const auto body =
      FetchJson(plan_.workers_admin_port, "/admin/runs", 4 * kAdminTimeout);
  if (!body) {
    throw std::runtime_error("no response to /admin/runs of the workers");
  }
  return *body;
}

double Site::Fragmentation() const {
  const auto body =
      FetchJson(plan_.workers_admin_port, "/admin/occupancy", kAdminTimeout);
  if (!body) return 0;
  int free = 0;
  int fragmented = 0;
  for (const json& worker : body->at("workers")) {
    const int occupied = worker.at("occupied");
    const int unused = worker.at("accelerators").get<int>() - occupied;
    free += unused;
    if (occupied > 0) fragmented += unused;
  }
  return free == 0 ? 0 : static_cast<double>(fragmented) / free;
}

}  // namespace jasminespar::standins
