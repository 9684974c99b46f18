// Configurations that take long to transfer, as seen by callers.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "jobserver/job_site.h"

namespace jasminespar::jobserver {
namespace {

/// A configuration of about 600 KB takes this link three seconds.
standins::LinkFaults SlowLink() {
  standins::LinkFaults faults;
  faults.bytes_per_second = 200'000;
  return faults;
}

constexpr std::size_t kManyQueues = 2'000;
constexpr std::size_t kPadding = 280;

/// Starts one instance over a slow link with a small configuration in force.
struct SlowSite : JobSite {
  SlowSite() : JobSite(1) {
    SetTableLink(0, SlowLink());
    PutConfiguration({});
    StartInstance(0);
    REQUIRE(WaitUntilServed(0, "queue-0"));
  }
};

TEST_CASE("a configuration whose transfer outlasts a watch comes into force") {
  SlowSite site;
  site.PutConfiguration({2, kManyQueues, kPadding});
  CHECK(site.WaitUntilServed(0, "queue-1999"));
}

TEST_CASE(
    "changes faster than their transfer do not keep routes from service") {
  SlowSite site;
  site.PutConfiguration({2, kManyQueues, kPadding});
  for (std::uint64_t version = 3; version < 30; ++version) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    site.PutConfiguration({version, kManyQueues, kPadding});
  }
  CHECK(site.StatusOf(0, "queue-1999") == 200);
}

TEST_CASE("an instance that missed many versions transfers the newest only") {
  SlowSite site;
  site.PutConfiguration({2, kManyQueues, kPadding});
  REQUIRE(site.WaitUntilServed(0, "queue-1999"));
  const std::uint64_t before = site.TableLinkBytes(0);
  for (std::uint64_t version = 3; version < 22; ++version) {
    site.PutConfiguration({version, kManyQueues, kPadding});
  }
  site.PutConfiguration({22, kManyQueues + 1, kPadding});
  CHECK(site.WaitUntilServed(0, "queue-2000"));
  constexpr std::size_t kTransfers = 4;
  const std::size_t size = kManyQueues * (kPadding + 30);
  CHECK(site.TableLinkBytes(0) - before < kTransfers * size);
}

/// Two instances, the second with a slow link, and a large configuration in
/// force at both.
struct UnequalSite : JobSite {
  UnequalSite() : JobSite(2) {
    SetTableLink(1, SlowLink());
    PutConfiguration({1, kManyQueues, kPadding});
    StartInstance(0);
    StartInstance(1);
    REQUIRE(WaitUntilServed(0, "queue-1999"));
    REQUIRE(WaitUntilServed(1, "queue-1999"));
  }
};

TEST_CASE("a slow link carries no large configuration again for each change") {
  UnequalSite site;
  site.PutConfiguration({2, kManyQueues + 1, kPadding});
  REQUIRE(site.WaitUntilServed(1, "queue-2000"));
  // The watch that waited for the change is answered with the whole row.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const std::uint64_t before = site.TableLinkBytes(1);
  for (std::uint64_t version = 3; version < 9; ++version) {
    site.PutConfiguration({version, kManyQueues + version - 1, kPadding});
    const std::string added =
        "queue-" + std::to_string(kManyQueues + version - 2);
    CHECK(site.WaitUntilServed(1, added));
  }
  CHECK(site.TableLinkBytes(1) - before < kManyQueues * kPadding);
}

TEST_CASE("an instance cut off from the table gets versions from a peer") {
  UnequalSite site;
  standins::LinkFaults cut;
  cut.cut_to_source = true;
  cut.cut_to_target = true;
  site.SetTableLink(1, cut);
  for (std::uint64_t version = 2; version < 5; ++version) {
    site.PutConfiguration({version, kManyQueues + version, kPadding});
    const std::string added =
        "queue-" + std::to_string(kManyQueues + version - 1);
    CHECK(site.WaitUntilServed(1, added));
  }
}

TEST_CASE("a forgotten history does not keep a configuration from service") {
  SlowSite site;
  site.PutConfiguration({2, 10, kPadding});
  site.DropHistory();
  CHECK(site.WaitUntilServed(0, "queue-9"));
}

}  // namespace
}  // namespace jasminespar::jobserver
