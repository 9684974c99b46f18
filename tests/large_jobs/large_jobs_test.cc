// Tests jobs inside the users' formats that are as large as they may be.
#include <catch2/catch.hpp>
#include <chrono>
#include <iomanip>
#include <sstream>
#include <thread>

#include "hostile_clients/served_process.h"

namespace jasminespar::hostile_clients {
namespace {

// Fixed on the code before any limit, as those of tests/hostile_clients.
constexpr std::size_t kMemoryMib = 64;
constexpr std::size_t kMaxConnections = 64;
constexpr std::uint64_t kJobs = 24;

TEST_CASE("jobs of very many tasks") {
  ServedProcess served(kMemoryMib, kMaxConnections);
  REQUIRE(served.AnswersOrdinaryRequest());
  const std::string body = R"({"spec":"x","steps":[{"count":100000,"cpu":1}]})";
  for (std::uint64_t job = 0; job < kJobs; ++job) {
    std::ostringstream target;
    target << "/q/" << std::hex << std::setw(16) << std::setfill('0')
           << 0x100000 + job;
    UNSCOPED_INFO("job " << job << ": "
                         << served.Ask(served.ports().callers, "POST",
                                       target.str(), body));
  }
  // The owner of the cell has taken them by then.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  CHECK(served.AnswersOrdinaryRequest());
  CHECK(served.lives());
  CHECK(served.PeakMemoryKib() < kMemoryMib << 10U);
}

}  // namespace
}  // namespace jasminespar::hostile_clients
