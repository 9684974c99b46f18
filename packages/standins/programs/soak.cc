/// @file
/// Program: injects random faults into a site of real processes under load, and
/// checks the promises from the outside.

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/http_exchange.h"
#include "jasminespar/standins/load.h"
#include "jasminespar/standins/load_summary.h"
#include "jasminespar/standins/promises.h"
#include "jasminespar/standins/site.h"
#include "jasminespar/standins/site_fault.h"

namespace jasminespar::standins {
namespace {

constexpr Duration kStartTimeout = 30s;
constexpr Duration kPollInterval = 200ms;
constexpr Duration kRevisionTimeout = 200ms;
constexpr Duration kWorkerLease = 3s;
constexpr Duration kShutdownTimeout = 40s;
constexpr Duration kIncompleteGangLimit = kWorkerLease + 5s;
constexpr std::size_t kRecheckedCalls = 300;
constexpr int kAccounts = 4;

struct SoakSettings {
  SiteKind site = SiteKind::kSmall;
  std::uint64_t seed = 1;
  Duration duration = 1min;
  double calls_per_second = 20;
  bool faults = true;
  bool compare_epochs = true;
};

SoakSettings ParseArguments(int argc, char** argv) {
  cxxopts::Options options(
      "soak", "Injects random faults into a site of real processes");
  auto add = options.add_options();
  add("site", "small, sao-mai or lone-star",
      cxxopts::value<std::string>()->default_value("small"));
  add("seed", "seed of the faults and the load",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("minutes", "minutes of load",
      cxxopts::value<double>()->default_value("1"));
  add("rate", "calls per second",
      cxxopts::value<double>()->default_value("20"));
  add("no-faults", "load without faults");
  add("compare-epochs", "workers refuse requests with a lower epoch",
      cxxopts::value<bool>()->default_value("true"));
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  SoakSettings settings;
  const auto site =
      ParseName(kSiteKindNames, arguments["site"].as<std::string>());
  if (!site) throw std::invalid_argument("unknown site");
  settings.site = *site;
  settings.seed = arguments["seed"].as<std::uint64_t>();
  settings.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<60>>(
          arguments["minutes"].as<double>()));
  settings.calls_per_second = arguments["rate"].as<double>();
  settings.faults = arguments.count("no-faults") == 0;
  settings.compare_epochs = arguments["compare-epochs"].as<bool>();
  return settings;
}

/// Checks that no instance's revision decreases, not even over a restart.
class RevisionMonitor {
 public:
  void Poll(const SitePlan& plan) {
    for (const PlannedInstance& instance : plan.instances) {
      const auto body = FetchJson(instance.caller_port, "/v1/configuration",
                                  kRevisionTimeout);
      if (!body || !body->is_object()) continue;
      const std::uint64_t seen = body->value("revision", std::uint64_t{0});
      std::uint64_t& highest = highest_[instance.id];
      if (seen < highest) {
        breaches_.push_back(
            {Promise::kRevisionsRise, instance.id.value + " showed " +
                                          std::to_string(seen) + " after " +
                                          std::to_string(highest)});
      }
      highest = std::max(highest, seen);
    }
  }
  [[nodiscard]] const std::vector<Breach>& breaches() const {
    return breaches_;
  }
  [[nodiscard]] std::uint64_t highest() const {
    std::uint64_t highest = 0;
    for (const auto& [id, seen] : highest_) highest = std::max(highest, seen);
    return highest;
  }

 private:
  std::map<InstanceId, std::uint64_t> highest_;
  std::vector<Breach> breaches_;
};

/// One soak run.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings)
      : settings_(settings), site_(MakeOptions(settings)) {
    site_.KeepFolder();
  }

  /// @return the exit status.
  int Run() {
    std::cout << "seed " << settings_.seed << ", logs in " << site_.folder()
              << std::endl;
    StartSite();
    Load load(MakeLoadSettings(), PlanMix(MakeMix()));
    start_ = runtime::SteadyNow();
    load.Start();
    RunFaults(load);
    const std::vector<CallRecord> records = load.Finish(kRecheckedCalls);
    return CheckAndReport(records);
  }

 private:
  static SiteOptions MakeOptions(const SoakSettings& settings) {
    SiteOptions options;
    options.kind = settings.site;
    options.seed = settings.seed;
    options.worker_lease = kWorkerLease;
    options.compare_epochs = settings.compare_epochs;
    return options;
  }

  LoadSettings MakeLoadSettings() const {
    LoadSettings load;
    load.seed = settings_.seed;
    load.send_timeout = 15s;
    for (const PlannedInstance& instance : site_.plan().instances) {
      load.caller_ports.push_back(instance.caller_port);
    }
    return load;
  }

  MixSettings MakeMix() const {
    MixSettings mix;
    mix.seed = settings_.seed;
    mix.arrival_period = settings_.duration;
    const std::chrono::duration<double> seconds = settings_.duration;
    mix.calls =
        static_cast<std::size_t>(seconds.count() * settings_.calls_per_second);
    mix.accounts = kAccounts;
    mix.straggler = false;
    mix.burst_share = 0.2;
    return mix;
  }

  void StartSite() {
    site_.StartAllInstances();
    std::string error = "no response from any instance";
    std::optional<std::uint64_t> revision;
    for (Duration waited{}; !revision && waited < kStartTimeout;
         waited += kPollInterval) {
      revision = site_.ApplyReleaseNote(MakeFirstNote(kAccounts, 1), error);
      if (!revision) std::this_thread::sleep_for(kPollInterval);
    }
    if (!revision) {
      throw std::runtime_error("release note was not accepted: " + error);
    }
    if (!site_.WaitUntilAllReady(kStartTimeout)) {
      throw std::runtime_error("an instance did not become ready");
    }
  }

  Duration Elapsed() const { return runtime::SteadyNow() - start_; }

  void RunFaults(const Load& load) {
    std::vector<TimedFault> faults;
    if (settings_.faults) {
      faults = PlanFaults(site_.plan(), settings_.seed, settings_.duration);
    }
    std::multimap<Duration, const TimedFault*> begins;
    std::multimap<Duration, const TimedFault*> ends;
    for (const TimedFault& fault : faults) begins.emplace(fault.at, &fault);
    while (!begins.empty() || !ends.empty() ||
           load.progress().ended < load.progress().planned) {
      for (auto end = ends.begin(); end != ends.end();) {
        end = TryEnd(*end->second, end->first) ? ends.erase(end) : ++end;
      }
      if (!begins.empty() && begins.begin()->first <= Elapsed()) {
        const TimedFault& fault = *begins.begin()->second;
        Log("begin ", fault);
        FindCrashes();
        if (const auto index = TerminatedInstance(fault.fault)) {
          down_.insert(*index);
        }
        BeginFault(fault.fault, site_);
        ends.emplace(Elapsed() + fault.duration, &fault);
        begins.erase(begins.begin());
      }
      FindCrashes();
      revisions_.Poll(site_.plan());
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /// Ends the fault if it is due and can end, or is overdue.
  /// @return whether it was ended.
  bool TryEnd(const TimedFault& fault, Duration due) {
    if (Elapsed() < due) return false;
    const bool overdue = Elapsed() >= due + kShutdownTimeout;
    if (!overdue && !CanEnd(fault.fault, site_)) return false;
    Log(overdue ? "forced " : "end   ", fault);
    EndFault(fault.fault, site_);
    if (const auto index = TerminatedInstance(fault.fault)) down_.erase(*index);
    return true;
  }

  /// Records and prints instances that ended although no active fault ends
  /// them.
  void FindCrashes() {
    for (std::size_t i = 0; i < site_.plan().instances.size(); ++i) {
      if (down_.contains(i) || site_.instance(i).running()) continue;
      if (!crashed_.insert(i).second) continue;
      std::cout << "  " << ToMilliseconds(Elapsed()) << " ms instance "
                << site_.plan().instances[i].id.value << " ended by itself"
                << std::endl;
    }
  }

  void Log(const char* what, const TimedFault& fault) const {
    std::cout << "  " << ToMilliseconds(Elapsed()) << " ms " << what
              << Describe(fault.fault, site_.plan()) << std::endl;
  }

  int CheckAndReport(const std::vector<CallRecord>& records) {
    std::vector<Breach> breaches =
        CheckPromises(records, ParseRuns(site_.Runs()), kIncompleteGangLimit);
    breaches.insert(breaches.end(), revisions_.breaches().begin(),
                    revisions_.breaches().end());
    std::cout << '\n'
              << FormatTable(Summarise(records), site_.Fragmentation()) << '\n'
              << "highest revision " << revisions_.highest() << '\n'
              << FormatVerdicts(breaches);
    FindCrashes();
    std::cout << "instances that ended by themselves: " << crashed_.size()
              << '\n';
    for (const Breach& breach : breaches) {
      std::cout << "breach " << RowOf(kPromiseNames, breach.promise).name
                << ": " << breach.detail << '\n';
    }
    return breaches.empty() && crashed_.empty() ? 0 : 1;
  }

  SoakSettings settings_;
  Site site_;
  TimePoint start_;
  RevisionMonitor revisions_;
  std::set<std::size_t> down_;     // Ended by an active fault.
  std::set<std::size_t> crashed_;  // Ended without a fault.
};

}  // namespace
}  // namespace jasminespar::standins

int main(int argc, char** argv) {
  using jasminespar::standins::ParseArguments;
  try {
    return jasminespar::standins::Soak(ParseArguments(argc, argv)).Run();
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
  }
}
