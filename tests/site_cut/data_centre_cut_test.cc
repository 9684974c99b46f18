#include <csignal>

#include "site/running_site.h"

namespace jasminespar::standins {
namespace {

/// Instances 0 and 1 of a small site are in its first data centre.
constexpr std::size_t kInstancesPerDataCentre = 2;

/// Isolates the first data centre: cuts the platform's links to it and stops
/// the other data centre's instances, which then look unreachable from it.
void IsolateDataCentre(RunningSite& running) {
  running.site.SetLinkFault("platform/dc-a/",
                            {{"cut_to_target", true}, {"cut_to_source", true}});
  for (std::size_t i = kInstancesPerDataCentre;
       i < running.site.plan().instances.size(); ++i) {
    running.site.instance(i).Signal(SIGSTOP);
  }
}

void EndIsolation(RunningSite& running) {
  running.site.SetLinkFault("platform/", nlohmann::json::object());
  for (std::size_t i = kInstancesPerDataCentre;
       i < running.site.plan().instances.size(); ++i) {
    running.site.instance(i).Signal(SIGCONT);
  }
}

/// @return load that only the first data centre's instances receive.
LoadSettings LocalLoadSettings(const RunningSite& running) {
  LoadSettings settings = running.MakeLoadSettings();
  settings.caller_ports.resize(kInstancesPerDataCentre);
  return settings;
}

void CheckAnswered(const std::vector<CallRecord>& records) {
  for (const CallRecord& record : records) {
    INFO(record.plan.key.idempotency_key << " " << record.reason);
    CHECK(record.outcome == CallerOutcome::kAnswered);
  }
}

std::vector<PlannedCall> IdempotentMix(std::uint64_t seed) {
  MixSettings mix = MakeSmallMix(seed, 60, 4s);
  mix.non_idempotent_share = 0;
  return PlanMix(mix);
}

TEST_CASE("a data centre that is cut off serves idempotent calls") {
  RunningSite running;
  IsolateDataCentre(running);
  Load load(LocalLoadSettings(running), IdempotentMix(21));
  load.Start();
  const std::vector<CallRecord> records = load.Finish(0);
  EndIsolation(running);
  CheckAnswered(records);
  running.CheckPromisesOf(records);
}

TEST_CASE(
    "a cut-off data centre serves calls after its cell's owner has died") {
  RunningSite running;
  IsolateDataCentre(running);
  Load load(LocalLoadSettings(running), IdempotentMix(22));
  load.Start();
  std::this_thread::sleep_for(1s);
  // One of the two owns the cell, so killing each in turn kills the owner.
  for (std::size_t i = 0; i < kInstancesPerDataCentre; ++i) {
    running.site.KillInstance(i);
    std::this_thread::sleep_for(500ms);
    running.site.StartInstance(i);
    REQUIRE(running.site.WaitUntilReady(i, kReadyTimeout));
  }
  const std::vector<CallRecord> records = load.Finish(0);
  EndIsolation(running);
  CheckAnswered(records);
  running.CheckPromisesOf(records);
}

}  // namespace
}  // namespace jasminespar::standins
