#include "jasminespar/standins/site.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <set>

#include "jasminespar/standins/http_exchange.h"
#include "jasminespar/standins/site_fault.h"

namespace jasminespar::standins {
namespace {

TEST_CASE("plans have the sizes of the users' sites and use each port once") {
  const SitePlan sao_mai = PlanSite(SiteKind::kSaoMai, 10'000);
  CHECK(sao_mai.data_centres.size() == 3);
  CHECK(sao_mai.workers.size() == 51);
  CHECK(sao_mai.instances.size() == 6);
  const SitePlan lone_star = PlanSite(SiteKind::kLoneStar, 10'000);
  CHECK(lone_star.data_centres.size() == 4);
  CHECK(lone_star.workers.size() == 52);
  CHECK(lone_star.instances.size() == 6);
  std::set<int> ports{lone_star.platform_port, lone_star.proxy_admin_port,
                      lone_star.workers_admin_port};
  for (const PlannedInstance& instance : lone_star.instances) {
    ports.insert({instance.caller_port, instance.peer_port,
                  instance.proxied_peer_port, instance.proxied_platform_port});
  }
  for (const PlannedWorker& worker : lone_star.workers) {
    ports.insert({worker.port, worker.proxied_port});
  }
  CHECK(ports.size() == PortCount(SiteKind::kLoneStar));
  CHECK(*ports.rbegin() - *ports.begin() + 1 == PortCount(SiteKind::kLoneStar));
}

TEST_CASE("a site's stand-ins answer through the proxy and end with the site") {
  SitePlan plan;
  {
    const Site site(SiteOptions{});
    plan = site.plan();
    const auto list =
        FetchJson(plan.instances[0].proxied_platform_port, "/instances", 5s);
    REQUIRE(list);
    CHECK(list->at("workers").size() == plan.workers.size());
    CHECK(FetchJson(plan.workers[0].proxied_port, "/admin/runs", 5s));
    site.SetLinkFault("platform/", {{"cut_to_target", true}});
    CHECK_FALSE(FetchJson(plan.instances[0].proxied_platform_port, "/instances",
                          100ms));
  }
  CHECK_FALSE(FetchJson(plan.platform_port, "/instances", 100ms));
}

TEST_CASE("the same seed gives the same faults, all of which end in time") {
  const SitePlan plan = PlanSite(SiteKind::kSmall, 10'000);
  const auto first = PlanFaults(plan, 7, 60s);
  const auto second = PlanFaults(plan, 7, 60s);
  REQUIRE_FALSE(first.empty());
  REQUIRE(first.size() == second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(Describe(first[i].fault, plan) == Describe(second[i].fault, plan));
    CHECK(first[i].at + first[i].duration < 60s);
  }
}

TEST_CASE("a process is stopped, continued, terminated and reaped") {
  Process process({"/bin/sleep", "60"}, "/dev/null");
  process.Signal(SIGSTOP);
  process.Signal(SIGCONT);
  CHECK(process.running());
  process.Signal(SIGTERM);
  CHECK(process.WaitForEnd(10s));
  CHECK_FALSE(process.running());
}

}  // namespace
}  // namespace jasminespar::standins
