/// @file
/// jasmined: one instance of the system.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "jasminespar/daemon/instance.h"
#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar {
namespace {

/// Exit codes, as docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

using ParsedSettings =
    std::variant<settings::DaemonSettings, std::vector<settings::SettingFault>>;

ParsedSettings ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return settings::ParseDaemonSettings(text.str(), path);
}

int Run(const cxxopts::ParseResult& options, const char* program) {
  const ParsedSettings parsed =
      ReadSettings(options["settings"].as<std::string>());
  if (const auto* faults =
          std::get_if<std::vector<settings::SettingFault>>(&parsed)) {
    telemetry::StartLogging(program, "");
    for (const settings::SettingFault& fault : *faults) {
      telemetry::LogEvent(telemetry::Event::kSettingsFault,
                          {{"fault", settings::ToString(fault)}});
    }
    return kExitSettings;
  }
  const auto& settings = std::get<settings::DaemonSettings>(parsed);
  if (options.count("print-settings") > 0) {
    std::cout << settings::PrintDaemonSettings(settings);
    return kExitOk;
  }
  if (options.count("check-settings") > 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  telemetry::StartLogging(program, settings.log_folder);
  daemon::Instance instance(settings);
  instance.Run();
  return kExitOk;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("jasmined", "One instance of jasminespar.");
  options.add_options()("s,settings", "INI file",
                        cxxopts::value<std::string>())(
      "check-settings", "report every fault of the file and exit")(
      "print-settings", "print all settings with their values and exit")(
      "h,help", "this page");
  try {
    const cxxopts::ParseResult result = options.parse(argc, argv);
    if (result.count("help") > 0 || result.count("settings") == 0) {
      std::cout << options.help();
      return result.count("help") > 0 ? kExitOk : kExitUsage;
    }
    return Run(result, argv[0]);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "jasmined: " << error.what() << '\n';
    return kExitFailed;
  }
}

}  // namespace
}  // namespace jasminespar

int main(int argc, char** argv) { return jasminespar::Main(argc, argv); }
