/// @file
/// Program: stand-ins for the endpoints of several workers, each on its own
/// port.

#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "jasminespar/standins/endpoint_service.h"
#include "jasminespar/standins/responses.h"
#include "jasminespar/standins/run_until_signal.h"

namespace {

using jasminespar::standins::EndpointService;

struct WorkersSettings {
  std::uint16_t first_port = 0;
  int count = 1;
  std::uint64_t first_id = 1;
  std::uint16_t admin_port = 0;
  jasminespar::standins::EndpointSettings endpoint;
};

WorkersSettings ParseArguments(int argc, char** argv) {
  cxxopts::Options options("standin_workers",
                           "Stand-in endpoints, on 127.0.0.1");
  auto add = options.add_options();
  add("first-port", "port of the first worker; the others follow",
      cxxopts::value<std::uint16_t>());
  add("count", "number of workers", cxxopts::value<int>()->default_value("1"));
  add("first-id", "id of the first worker",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("accelerators", "accelerators of each worker",
      cxxopts::value<int>()->default_value("8"));
  add("lease-ms", "lease of a cell on a worker, in ms",
      cxxopts::value<int>()->default_value("10000"));
  add("compare-epochs", "refuse requests with a lower epoch",
      cxxopts::value<bool>()->default_value("true"));
  add("admin-port", "port of the admin paths for all workers, 0 for none",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  WorkersSettings settings;
  settings.first_port = arguments["first-port"].as<std::uint16_t>();
  settings.count = arguments["count"].as<int>();
  settings.first_id = arguments["first-id"].as<std::uint64_t>();
  settings.admin_port = arguments["admin-port"].as<std::uint16_t>();
  settings.endpoint.accelerators = arguments["accelerators"].as<int>();
  settings.endpoint.lease =
      std::chrono::milliseconds(arguments["lease-ms"].as<int>());
  settings.endpoint.compare_epochs = arguments["compare-epochs"].as<bool>();
  return settings;
}

/// Serves `/admin/occupancy` and `/admin/runs` of all workers.
boost::asio::awaitable<jasminespar::http::Response> HandleAdmin(
    jasminespar::http::Request request,
    const std::vector<std::unique_ptr<EndpointService>>& services) {
  const bool occupancy = request.target == "/admin/occupancy";
  nlohmann::json workers = nlohmann::json::array();
  for (const auto& service : services) {
    workers.push_back(occupancy ? service->Occupancy() : service->Runs());
  }
  nlohmann::json body = nlohmann::json::object();
  body["workers"] = std::move(workers);
  co_return jasminespar::standins::JsonResponse(200, body);
}

int Run(int argc, char** argv) {
  WorkersSettings settings = ParseArguments(argc, argv);
  jasminespar::runtime::Duty duty("endpoints");
  jasminespar::standins::Checkpoints checkpoints;
  std::vector<std::unique_ptr<EndpointService>> services;
  for (int i = 0; i < settings.count; ++i) {
    settings.endpoint.worker.value =
        settings.first_id + static_cast<std::uint64_t>(i);
    services.push_back(std::make_unique<EndpointService>(
        duty.context(), settings.endpoint,
        static_cast<std::uint16_t>(settings.first_port + i), checkpoints));
    services.back()->Start();
  }
  std::unique_ptr<jasminespar::http::Server> admin;
  if (settings.admin_port != 0) {
    admin = std::make_unique<jasminespar::http::Server>(
        duty.context(), "127.0.0.1", settings.admin_port,
        jasminespar::http::ServerLimits{},
        [&services](
            jasminespar::http::Request request,
            const std::shared_ptr<jasminespar::http::ConnectionState>&) {
          return HandleAdmin(std::move(request), services);
        },
        jasminespar::standins::RejectionResponse);
    admin->Start();
  }
  std::cout << "serving " << settings.count << " workers" << std::endl;
  jasminespar::standins::RunUntilSignal({&duty});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "standin_workers: " << error.what() << '\n';
    return 1;
  }
}
