/// @file
/// jasmined: runs one instance of the scheduler.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "jasminespar/core/name_table.h"
#include "jasminespar/daemon/instance.h"
#include "jasminespar/fleet/fleet_codec.h"
#include "jasminespar/jobserver/job_server.h"
#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/settings/job_server_settings.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar {
namespace {

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

/// What an instance serves; the values of --serve.
enum class Service : std::uint8_t { kCalls, kJobs };

constexpr NameTable<Service, 2> kServiceNames{{
    {Service::kCalls, "calls",
     "Calls, each run by one gang that returns one answer."},
    {Service::kJobs, "jobs", "Multi-step jobs on the users' platform."},
}};
static_assert(IsDense(kServiceNames));

/// @throws std::runtime_error when the file cannot be opened.
std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Logs the errors of the settings file to standard error.
/// @return the exit code.
int LogSettingErrors(const std::vector<settings::SettingError>& errors,
                     const char* program) {
  telemetry::StartLogging(program, "");
  for (const settings::SettingError& error : errors) {
    telemetry::LogEvent(telemetry::Event::kSettingsFault,
                        {{"fault", settings::ToString(error)}});
  }
  return kExitSettings;
}

/// Handles --print-settings and --check-settings.
/// @param printed the settings as INI text.
/// @return the exit code, or nothing if neither option was given and the
///     instance is to run.
std::optional<int> HandleInspectionOptions(const cxxopts::ParseResult& options,
                                           const std::string& printed) {
  if (options.count("print-settings") > 0) {
    std::cout << printed;
    return kExitOk;
  }
  if (options.count("check-settings") > 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return std::nullopt;
}

/// Runs an instance that serves calls until it is stopped.
/// @return the exit code.
int ServeCalls(const cxxopts::ParseResult& options, const std::string& path,
               const char* program) {
  const auto parsed = settings::ParseDaemonSettings(ReadFile(path), path);
  if (const auto* errors =
          std::get_if<std::vector<settings::SettingError>>(&parsed)) {
    return LogSettingErrors(*errors, program);
  }
  const auto& settings = std::get<settings::DaemonSettings>(parsed);
  const std::optional<int> exit_code =
      HandleInspectionOptions(options, settings::PrintDaemonSettings(settings));
  if (exit_code) return *exit_code;
  telemetry::StartLogging(program, settings.log_folder);
  daemon::Instance instance(settings);
  instance.Run();
  return kExitOk;
}

/// Runs an instance that serves jobs until it is stopped.
/// @return the exit code.
int ServeJobs(const cxxopts::ParseResult& options, const std::string& path,
              const char* program) {
  const auto parsed = settings::ParseJobServerSettings(ReadFile(path), path);
  if (const auto* errors =
          std::get_if<std::vector<settings::SettingError>>(&parsed)) {
    return LogSettingErrors(*errors, program);
  }
  const auto& settings = std::get<settings::JobServerSettings>(parsed);
  const std::optional<int> exit_code = HandleInspectionOptions(
      options, settings::PrintJobServerSettings(settings));
  if (exit_code) return *exit_code;
  jobserver::JobServer server(settings, path, fleet::MakeFleetCodec());
  server.Run();
  return kExitOk;
}

/// @return the path given by --settings, else the one that the platform passes;
///     empty if there is neither.
std::string SettingsPathOf(const cxxopts::ParseResult& options) {
  if (options.count("settings") > 0) {
    return options["settings"].as<std::string>();
  }
  return fleet::SettingsPath();
}

int Run(const cxxopts::ParseResult& options, const std::string& help,
        const char* program) {
  const std::string path = SettingsPathOf(options);
  if (options.count("help") > 0 || path.empty()) {
    std::cout << help;
    return options.count("help") > 0 ? kExitOk : kExitUsage;
  }
  const std::optional<Service> service =
      ParseName(kServiceNames, options["serve"].as<std::string>());
  if (!service) {
    std::cerr << "jasmined: --serve must be calls or jobs\n";
    return kExitUsage;
  }
  return *service == Service::kJobs ? ServeJobs(options, path, program)
                                    : ServeCalls(options, path, program);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("jasmined", "One instance of jasminespar.");
  options.add_options()("s,settings", "INI file",
                        cxxopts::value<std::string>())(
      "serve", "calls or jobs",
      cxxopts::value<std::string>()->default_value("calls"))(
      "check-settings", "report every fault of the file and exit")(
      "print-settings", "print all settings with their values and exit")(
      "h,help", "this page");
  try {
    return Run(options.parse(argc, argv), options.help(), argv[0]);
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
