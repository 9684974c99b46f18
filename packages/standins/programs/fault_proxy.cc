/// @file
/// Program: forwards TCP and UDP and injects faults; see ProxyService for its
/// admin port.

#include <cxxopts.hpp>
#include <iostream>

#include "jasminespar/standins/proxy_service.h"
#include "jasminespar/standins/run_until_signal.h"

namespace {

int Run(int argc, char** argv) {
  cxxopts::Options options("fault_proxy", "Fault-injecting TCP and UDP proxy");
  options.add_options()("admin-port",
                        "TCP port of the admin paths, 0 for a free one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "seed", "seed of all random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  jasminespar::runtime::Duty duty("proxy");
  jasminespar::standins::ProxyService service(
      duty.context(), arguments["admin-port"].as<std::uint16_t>(),
      arguments["seed"].as<std::uint64_t>());
  service.Start();
  std::cout << "listening on " << service.port() << std::endl;
  jasminespar::standins::RunUntilSignal({&duty});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fault_proxy: " << error.what() << '\n';
    return 1;
  }
}
