/// @file
/// Program: runs a site on the local machine under a mix of calls, and checks
/// the promises.

#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/standins/load.h"
#include "jasminespar/standins/load_summary.h"
#include "jasminespar/standins/promises.h"
#include "jasminespar/standins/site.h"

namespace jasminespar::standins {
namespace {

constexpr Duration kStartTimeout = 30s;
constexpr Duration kSampleInterval = 500ms;
constexpr Duration kIncompleteGangLimit = 8s;
constexpr int kAccounts = 4;
constexpr int kGuaranteedWorkers = 6;
constexpr std::size_t kRecheckedCalls = 200;

struct DemoSettings {
  SiteKind site = SiteKind::kSaoMai;
  MixSettings mix;
  bool kill = false;  ///< Kill and restart an instance during the load.
};

DemoSettings ParseArguments(int argc, char** argv) {
  cxxopts::Options options("demo", "Runs a site on the local machine");
  auto add = options.add_options();
  add("site", "sao-mai, lone-star or small",
      cxxopts::value<std::string>()->default_value("sao-mai"));
  add("seed", "seed of the mix of calls",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("calls", "number of calls",
      cxxopts::value<std::size_t>()->default_value("1000"));
  add("seconds", "seconds over which the calls arrive",
      cxxopts::value<int>()->default_value("20"));
  add("kill", "kill and restart an instance during the load");
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  DemoSettings settings;
  const auto site =
      ParseName(kSiteKindNames, arguments["site"].as<std::string>());
  if (!site) throw std::invalid_argument("unknown site");
  settings.site = *site;
  settings.mix.seed = arguments["seed"].as<std::uint64_t>();
  settings.mix.calls = arguments["calls"].as<std::size_t>();
  settings.mix.arrival_period =
      std::chrono::seconds(arguments["seconds"].as<int>());
  settings.mix.accounts = kAccounts;
  settings.kill = arguments.count("kill") != 0;
  return settings;
}

void StartSite(Site& site) {
  std::cout << site.plan().instances.size() << " instances, "
            << site.plan().workers.size() << " workers, "
            << site.plan().data_centres.size() << " data centres" << std::endl;
  site.StartAllInstances();
  std::string error = "no response from any instance";
  std::optional<std::uint64_t> revision;
  const int guaranteed =
      site.plan().workers.size() < kAccounts * 6 ? 1 : kGuaranteedWorkers;
  for (Duration waited{}; !revision && waited < kStartTimeout;
       waited += kSampleInterval) {
    revision =
        site.ApplyReleaseNote(MakeFirstNote(kAccounts, guaranteed), error);
    if (!revision) std::this_thread::sleep_for(kSampleInterval);
  }
  if (!revision) {
    throw std::runtime_error("release note was not accepted: " + error);
  }
  if (!site.WaitUntilAllReady(kStartTimeout)) {
    throw std::runtime_error("an instance did not become ready");
  }
  std::cout << "release note accepted as revision " << *revision
            << ", all instances ready" << std::endl;
}

/// Prints progress until the load has ended, and kills and restarts an instance
/// if the settings say so.
/// @return the mean fragmentation.
double MonitorLoad(Site& site, const Load& load, const DemoSettings& settings) {
  double sum = 0;
  int samples = 0;
  bool killed = false;
  bool restarted = false;
  while (load.progress().ended < load.progress().planned) {
    std::this_thread::sleep_for(kSampleInterval);
    const LoadProgress progress = load.progress();
    const double fragmentation = site.Fragmentation();
    sum += fragmentation;
    ++samples;
    if (samples % 4 == 0) {
      std::cout << "  " << progress.ended << " of " << progress.planned
                << " calls ended, " << progress.answered << " answered"
                << std::endl;
    }
    const Duration elapsed = samples * kSampleInterval;
    if (settings.kill && !killed &&
        elapsed >= settings.mix.arrival_period / 3) {
      killed = true;
      site.KillInstance(0);
      std::cout << "  killed instance " << site.plan().instances[0].id.value
                << std::endl;
    }
    if (killed && !restarted &&
        elapsed >= 2 * settings.mix.arrival_period / 3) {
      restarted = true;
      site.StartInstance(0);
      std::cout << "  started the killed instance again" << std::endl;
    }
  }
  return samples == 0 ? 0 : sum / samples;
}

int Run(int argc, char** argv) {
  const DemoSettings settings = ParseArguments(argc, argv);
  SiteOptions options;
  options.kind = settings.site;
  options.seed = settings.mix.seed;
  Site site(options);
  site.KeepFolder();
  std::cout << "logs in " << site.folder() << std::endl;
  StartSite(site);
  LoadSettings load_settings;
  load_settings.seed = settings.mix.seed;
  for (const PlannedInstance& instance : site.plan().instances) {
    load_settings.caller_ports.push_back(instance.caller_port);
  }
  Load load(load_settings, PlanMix(settings.mix));
  load.Start();
  const double fragmentation = MonitorLoad(site, load, settings);
  const std::vector<CallRecord> records = load.Finish(kRecheckedCalls);
  const std::vector<Breach> breaches =
      CheckPromises(records, ParseRuns(site.Runs()), kIncompleteGangLimit);
  std::cout << '\n'
            << FormatTable(Summarise(records), fragmentation) << '\n'
            << FormatVerdicts(breaches);
  return breaches.empty() ? 0 : 1;
}

}  // namespace
}  // namespace jasminespar::standins

int main(int argc, char** argv) {
  try {
    return jasminespar::standins::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << '\n';
    return 2;
  }
}
