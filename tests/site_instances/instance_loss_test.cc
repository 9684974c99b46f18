#include <csignal>

#include "site/running_site.h"

namespace jasminespar::standins {
namespace {

TEST_CASE("killing each instance of a data centre in turn breaks no promise") {
  RunningSite running;
  Load load(running.MakeLoadSettings(), PlanMix(MakeSmallMix(11, 150, 6s)));
  load.Start();
  std::this_thread::sleep_for(1s);
  // One of the two owns the cell of the first data centre, so killing each in
  // turn kills the owner.
  for (const std::size_t index : {std::size_t{0}, std::size_t{1}}) {
    running.site.KillInstance(index);
    std::this_thread::sleep_for(500ms);
    running.site.StartInstance(index);
    REQUIRE(running.site.WaitUntilReady(index, kReadyTimeout));
  }
  running.CheckPromisesOf(load.Finish(50));
}

TEST_CASE("a graceful restart of every instance cuts off no request") {
  RunningSite running;
  Load load(running.MakeLoadSettings(), PlanMix(MakeSmallMix(12, 150, 6s)));
  load.Start();
  std::this_thread::sleep_for(1s);
  for (std::size_t i = 0; i < running.site.plan().instances.size(); ++i) {
    running.site.instance(i).Signal(SIGTERM);
    const auto status = running.site.instance(i).WaitForEnd(40s);
    REQUIRE(status);
    CHECK(*status == 0);
    running.site.StartInstance(i);
    REQUIRE(running.site.WaitUntilReady(i, kReadyTimeout));
  }
  const std::vector<CallRecord> records = load.Finish(50);
  running.CheckPromisesOf(records);
  for (const CallRecord& record : records) {
    INFO(record.plan.key.idempotency_key << " " << record.reason);
    CHECK(record.unanswered == 0);
  }
}

}  // namespace
}  // namespace jasminespar::standins
