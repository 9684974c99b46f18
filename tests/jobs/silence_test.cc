// Workers that stop answering while they hold runs.
#include <algorithm>
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

const JobId kJob{"00000000000000aa"};

/// One job of one task that runs on one of two workers.
/// @return the worker's name.
std::string StartOnOne(DispatcherFixture& fixture) {
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(JobFound{DispatcherFixture::Job(kJob.value, "batch",
                                               {DispatcherFixture::Step(1, 8)}),
                        {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const std::string worker = fixture.starts.front().worker.value;
  fixture.AcceptStarts();
  fixture.Advance(100ms);
  return worker;
}

TEST_CASE("what ran on a silent worker starts elsewhere after its lease") {
  // Found on a grown deployment: looks without an answer kept on moving the
  // time at which the lease would be over.
  DispatcherFixture fixture;
  const std::string lost = StartOnOne(fixture);
  fixture.mute[lost] = true;
  fixture.Advance(fixture.settings.max_lease - 1s);
  CHECK(fixture.starts.empty());  // It may still run there.
  fixture.Advance(4s);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().worker.value != lost);
}

TEST_CASE("a stop that is sent again and again grants no lease") {
  DispatcherFixture fixture;
  const std::string lost = StartOnOne(fixture);
  fixture.mute[lost] = true;
  fixture.Advance(2s);
  fixture.answer_stops_with = OrderUnanswered{};
  fixture.Feed(JobCancelled{kJob});
  fixture.Advance(fixture.settings.max_lease + 2s);
  // Whatever held its room there is over; the worker has been given up.
  fixture.Feed(WorkerUnlisted{{lost}});
  fixture.Advance(500ms);
  CHECK(fixture.departed == std::vector<WorkerName>{{lost}});
}

TEST_CASE("a silent worker is told no stop until it answers a look") {
  DispatcherFixture fixture;
  const std::string lost = StartOnOne(fixture);
  fixture.mute[lost] = true;
  fixture.Advance(3s);
  fixture.answer_stops_with = OrderUnanswered{};
  fixture.Feed(JobCancelled{kJob});
  fixture.Advance(3s);
  CHECK(fixture.stops_sent <= 2);
  fixture.mute[lost] = false;
  fixture.answer_stops_with.reset();
  fixture.Advance(1s);
  CHECK_FALSE(fixture.stops.empty());
}

TEST_CASE("a worker that answers again gets its lease back at once") {
  DispatcherFixture fixture;
  const std::string cut = StartOnOne(fixture);
  fixture.mute[cut] = true;
  fixture.Advance(6s);
  fixture.mute[cut] = false;
  fixture.lease_of_last_look.clear();
  fixture.Advance(400ms);
  const std::uint64_t clock = fixture.reports[cut].clock.value;
  CHECK(fixture.lease_of_last_look[cut] > clock + 9'000);
}

}  // namespace
}  // namespace jasminespar::jobs
