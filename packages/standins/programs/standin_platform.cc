/// @file
/// Program: stand-in for the platform's table service, object store and list of
/// instances and workers, in memory.

#include <cxxopts.hpp>
#include <iostream>

#include "jasminespar/standins/platform_service.h"
#include "jasminespar/standins/run_until_signal.h"

namespace {

int Run(int argc, char** argv) {
  cxxopts::Options options("standin_platform",
                           "Stand-in for the platform, on 127.0.0.1");
  options.add_options()("port", "TCP port, 0 for a free one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "writes", "row writes per second",
      cxxopts::value<double>()->default_value("300"))(
      "reads", "read requests per second",
      cxxopts::value<double>()->default_value("2000"))("help",
                                                       "print this help");
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  jasminespar::standins::PlatformSettings settings;
  settings.port = arguments["port"].as<std::uint16_t>();
  settings.writes_per_second = arguments["writes"].as<double>();
  settings.reads_per_second = arguments["reads"].as<double>();
  jasminespar::runtime::Duty duty("platform");
  jasminespar::standins::PlatformService service(duty.context(), settings);
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
    std::cerr << "standin_platform: " << error.what() << '\n';
    return 1;
  }
}
