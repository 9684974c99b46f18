#include "jasminespar/jobs/configuration_change.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace jasminespar::jobs {
namespace {

/// A random version whose queues and accounts recur in others.
SiteConfiguration RandomSite(std::uint64_t version, std::mt19937_64& random) {
  const auto pick = [&random](int limit) {
    return std::uniform_int_distribution<int>(0, limit)(random);
  };
  SiteConfiguration site;
  site.version = Revision{version};
  site.max_body_bytes = static_cast<std::size_t>(pick(3));
  for (int i = 0; i < 20; ++i) {
    if (pick(2) == 0) continue;
    QueueConfiguration queue;
    queue.name.value = "queue-" + std::to_string(i);
    queue.host = pick(5) == 0 ? "b.example" : "a.example";
    queue.prefix = "/" + std::to_string(i) + "/";
    queue.priority = static_cast<std::uint32_t>(pick(1));
    site.queues.push_back(queue);
  }
  for (int i = 0; i < 5; ++i) {
    if (pick(2) == 0) continue;
    site.accounts.push_back({{"account-" + std::to_string(i)},
                             {"key-" + std::to_string(pick(2))},
                             pick(1)});
  }
  return site;
}

/// @return the configuration with its lists in the order of their names.
SiteConfiguration Sorted(SiteConfiguration site) {
  std::sort(
      site.queues.begin(), site.queues.end(),
      [](const auto& a, const auto& b) { return a.name.value < b.name.value; });
  std::sort(
      site.accounts.begin(), site.accounts.end(),
      [](const auto& a, const auto& b) { return a.name.value < b.name.value; });
  return site;
}

void CheckSame(const SiteConfiguration& actual,
               const SiteConfiguration& expected) {
  const SiteConfiguration a = Sorted(actual);
  const SiteConfiguration b = Sorted(expected);
  CHECK(a.version == b.version);
  CHECK(a.queues == b.queues);
  CHECK(a.accounts == b.accounts);
  CHECK(a.max_body_bytes == b.max_body_bytes);
}

TEST_CASE("a change applied to its base gives the newer version") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    const SiteConfiguration base = RandomSite(4, random);
    const SiteConfiguration target = RandomSite(9, random);
    std::optional<SiteConfiguration> result =
        Apply(&base, DifferenceOf(&base, target));
    REQUIRE(result);
    CheckSame(*result, target);
  }
}

TEST_CASE("a whole configuration replaces any other") {
  std::mt19937_64 random(8);
  const SiteConfiguration other = RandomSite(4, random);
  const SiteConfiguration target = RandomSite(9, random);
  for (const SiteConfiguration* base :
       {static_cast<const SiteConfiguration*>(nullptr), &other}) {
    std::optional<SiteConfiguration> result =
        Apply(base, DifferenceOf(nullptr, target));
    REQUIRE(result);
    CheckSame(*result, target);
  }
}

TEST_CASE("a change is not applied to another base") {
  std::mt19937_64 random(9);
  const SiteConfiguration base = RandomSite(4, random);
  const SiteConfiguration other = RandomSite(5, random);
  const ConfigurationChange change = DifferenceOf(&base, RandomSite(9, random));
  CHECK_FALSE(Apply(&other, change));
  CHECK_FALSE(Apply(nullptr, change));
}

TEST_CASE("an unchanged queue is not part of a change") {
  std::mt19937_64 random(10);
  const SiteConfiguration base = RandomSite(4, random);
  SiteConfiguration target = base;
  target.version = Revision{5};
  target.queues.front().priority += 1;
  const ConfigurationChange change = DifferenceOf(&base, target);
  CHECK(change.queues.size() == 1);
  CHECK(change.removed_queues.empty());
  CHECK(change.accounts.empty());
}

}  // namespace
}  // namespace jasminespar::jobs
