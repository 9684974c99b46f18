/// @file
/// Starts a small site of real processes and waits until it is ready for calls.

#ifndef JASMINESPAR_TESTS_SITE_RUNNING_SITE_H_
#define JASMINESPAR_TESTS_SITE_RUNNING_SITE_H_

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "jasminespar/standins/load.h"
#include "jasminespar/standins/promises.h"
#include "jasminespar/standins/site.h"

namespace jasminespar::standins {

inline constexpr Duration kReadyTimeout = 30s;
inline constexpr int kTestAccounts = 2;

/// Starts all instances of a site and waits until its first note is accepted
/// and all are ready.
inline void StartWithFirstNote(Site& site) {
  site.StartAllInstances();
  std::string error = "no response from any instance";
  std::optional<std::uint64_t> revision;
  for (int i = 0; !revision && i < 100; ++i) {
    revision = site.ApplyReleaseNote(MakeFirstNote(kTestAccounts, 1), error);
    if (!revision) std::this_thread::sleep_for(100ms);
  }
  INFO(error);
  REQUIRE(revision);
  REQUIRE(site.WaitUntilAllReady(kReadyTimeout));
}

struct RunningSite {
  RunningSite() : site(SiteOptions{}) { StartWithFirstNote(site); }

  [[nodiscard]] LoadSettings MakeLoadSettings() const {
    LoadSettings settings;
    settings.send_timeout = 10s;
    settings.call_timeout = 40s;
    for (const PlannedInstance& instance : site.plan().instances) {
      settings.caller_ports.push_back(instance.caller_port);
    }
    return settings;
  }

  /// Fails the test once for each breached promise.
  void CheckPromisesOf(const std::vector<CallRecord>& records) const {
    const auto breaches = CheckPromises(records, ParseRuns(site.Runs()),
                                        SiteOptions{}.worker_lease + 5s);
    for (const Breach& breach : breaches) {
      FAIL_CHECK(RowOf(kPromiseNames, breach.promise).name << ": "
                                                           << breach.detail);
    }
  }

  Site site;
};

/// @return settings of a small mix of calls without a straggler.
/// @param duration over which the calls arrive.
inline MixSettings MakeSmallMix(std::uint64_t seed, std::size_t calls,
                                Duration duration) {
  MixSettings mix;
  mix.seed = seed;
  mix.calls = calls;
  mix.arrival_period = duration;
  mix.accounts = kTestAccounts;
  mix.straggler = false;
  return mix;
}

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_TESTS_SITE_RUNNING_SITE_H_
