#include "site/running_site.h"

namespace jasminespar::standins {
namespace {

TEST_CASE("an instance that missed the first note refuses no service of it") {
  Site site{SiteOptions{}};
  site.SetLinkFault("peer/",
                    {{"cut_to_target", true}, {"cut_to_source", true}});
  StartWithFirstNote(site);
  LoadSettings settings;
  settings.call_timeout = 5s;
  settings.send_timeout = 5s;
  for (const PlannedInstance& instance : site.plan().instances) {
    settings.caller_ports.push_back(instance.caller_port);
  }
  Load load(settings, PlanMix(MakeSmallMix(13, 60, 1s)));
  load.Start();
  for (const CallRecord& record : load.Finish(0)) {
    INFO(record.plan.key.idempotency_key);
    CHECK(record.reason != "unknown_service");
  }
}

}  // namespace
}  // namespace jasminespar::standins
