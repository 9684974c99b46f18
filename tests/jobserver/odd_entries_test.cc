// What another writer may leave among the entries of the workers, and what a
// process must not use again after its start, as seen by callers.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "jobserver/job_site.h"

namespace jasminespar::jobserver {
namespace {

TEST_CASE("odd entries among the workers neither end nor stop an instance") {
  JobSite site(1);
  site.PutConfiguration({});
  const std::string open(100'000, '[');
  const std::string entry = R"({"service":"work","state":"ready","addr":)";
  site.PutWorkerEntry("deep", open);
  site.PutWorkerEntry("large",
                      entry + R"("127.0.0.1:1","capacity":{"cpu":1e999}})");
  site.PutWorkerEntry("no host", entry + R"(":80","capacity":{"cpu":1}})");
  site.StartInstance(0);
  REQUIRE(site.WaitUntilServed(0, "queue-0"));
  // The instance owns the cell by now and follows the list.
  site.PutWorkerEntry("no-port", entry + R"("127.0.0.1:0","capacity":{}})");
  site.PutWorkerEntry("bytes", std::string("\xff\x00\x80", 3));
  site.PutWorkerEntry("nobody", entry + R"("127.0.0.1:1","capacity":{}})");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  site.PutConfiguration({2, 2});
  CHECK(site.WaitUntilServed(0, "queue-1"));
}

TEST_CASE("an instance that starts serves no queue that was withdrawn") {
  JobSite site(2);
  site.PutConfiguration({1, 2});
  site.StartInstance(0);
  REQUIRE(site.WaitUntilServed(0, "queue-1"));
  site.PutConfiguration({2, 1});
  site.StartInstance(1);
  for (int attempt = 0; attempt < 100; ++attempt) {
    CHECK(site.StatusOf(1, "queue-1") != 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(site.WaitUntilServed(1, "queue-0"));
  CHECK(site.StatusOf(1, "queue-1") == 404);
}

}  // namespace
}  // namespace jasminespar::jobserver
