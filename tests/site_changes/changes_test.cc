#include <future>

#include "jasminespar/runtime/clock.h"
#include "jasminespar/standins/http_exchange.h"
#include "site/running_site.h"

namespace jasminespar::standins {
namespace {

TEST_CASE(
    "a worker listed as leaving accepts nothing new after three seconds") {
  constexpr Duration kNoticeTime = 3s;
  RunningSite running;
  Load load(running.MakeLoadSettings(), PlanMix(MakeSmallMix(13, 250, 9s)));
  load.Start();
  std::this_thread::sleep_for(2s);
  const WorkerId leaving{1};
  running.site.SetLeaving({leaving});
  const TimePoint listed = runtime::SteadyNow();
  running.CheckPromisesOf(load.Finish(0));
  const std::int64_t last_ms =
      ToMilliseconds((listed + kNoticeTime).time_since_epoch());
  bool had_orders = false;
  const nlohmann::json runs = running.site.Runs();
  for (const nlohmann::json& worker : runs.at("workers")) {
    if (worker.at("worker") != leaving.value) continue;
    for (const nlohmann::json& order : worker.at("orders")) {
      had_orders = true;
      CHECK(order.at("accepted_ms").get<std::int64_t>() <= last_ms);
    }
  }
  CHECK(had_orders);
}

TEST_CASE("of two release notes on the same base one wins on every instance") {
  RunningSite running;
  const auto send = [&running](std::size_t instance) {
    return PostJson(running.site.plan().instances[instance].caller_port,
                    "/v1/release-notes",
                    MakeWeightNote("note-" + std::to_string(instance), 1,
                                   static_cast<int>(instance) % kTestAccounts,
                                   2.0 + static_cast<double>(instance), 1),
                    20s);
  };
  auto other = std::async(std::launch::async, send, std::size_t{3});
  const auto first = send(0);
  const auto second = other.get();
  REQUIRE(first);
  REQUIRE(second);
  INFO(first->body << " " << second->body);
  CHECK(first->status + second->status == 200 + 409);
  const auto& loser = first->status == 200 ? second : first;
  CHECK(loser->body.find("revision_conflict") != std::string::npos);
  REQUIRE(running.site.WaitForRevision(2, 15s));
  const auto& instances = running.site.plan().instances;
  const auto expected =
      FetchJson(instances[0].caller_port, "/v1/configuration", 5s);
  for (const PlannedInstance& instance : instances) {
    CHECK(FetchJson(instance.caller_port, "/v1/configuration", 5s) == expected);
  }
}

}  // namespace
}  // namespace jasminespar::standins
