#include "site/running_site.h"

namespace jasminespar::standins {
namespace {

TEST_CASE("with the store down idempotent calls are served, others refused") {
  RunningSite running;
  running.site.SetStoreFault({{"mode", "down"}});
  LoadSettings settings = running.MakeLoadSettings();
  settings.call_timeout = 15s;
  MixSettings mix = MakeSmallMix(14, 60, 3s);
  mix.deadline = 10s;  // Before the callers give up, so every call must end.
  Load load(settings, PlanMix(mix));
  load.Start();
  const std::vector<CallRecord> records = load.Finish(0);
  running.CheckPromisesOf(records);
  for (const CallRecord& record : records) {
    INFO(record.plan.key.idempotency_key << " " << record.reason);
    if (record.plan.idempotence == Idempotence::kIdempotent) {
      CHECK(record.outcome == CallerOutcome::kAnswered);
    } else {
      CHECK(record.outcome == CallerOutcome::kRefused);
      CHECK(record.verdict == Verdict::kNotRun);
    }
  }
}

}  // namespace
}  // namespace jasminespar::standins
