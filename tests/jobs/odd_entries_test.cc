// Entries in the platform's list that no worker of the site stands behind.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// Lists a worker that never answers.
void AddGhost(DispatcherFixture& fixture, const std::string& name,
              const std::string& service) {
  fixture.unresponsive[name] = true;
  WorkerEntry entry;
  entry.name.value = name;
  entry.service.value = service;
  entry.host = "127.0.0.1";
  entry.port = 2;
  entry.capacity = {32'000, 128'000, 8};
  fixture.Feed(WorkerListed{entry});
}

TEST_CASE("a listed worker that has never answered delays no takeover") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  AddGhost(fixture, "ghost", "matching");
  fixture.Advance(1s);
  // The next owner waits for every enrolled worker.
  CHECK(fixture.enrolled.empty());
}

TEST_CASE("a worker is enrolled once it has answered") {
  DispatcherFixture fixture;
  fixture.FinishLoading();
  AddGhost(fixture, "late", "matching");
  fixture.Advance(1s);
  fixture.unresponsive["late"] = false;
  fixture.Advance(1s);
  REQUIRE(fixture.enrolled.size() == 1);
  CHECK(fixture.enrolled.front().name.value == "late");
}

TEST_CASE("a worker of a service that no queue uses is left alone") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.FinishLoading();
  AddGhost(fixture, "other", "no such service");
  fixture.Advance(1s);
  CHECK_FALSE(fixture.lease_of_last_poll.contains("other"));
  CHECK(fixture.lease_of_last_poll.contains("w1"));
}

TEST_CASE("a leaving worker's unreadable entry does not end its runs") {
  DispatcherFixture fixture;
  fixture.AddWorker("w1");
  fixture.AddWorker("w2");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.Feed(JobLoaded{
      DispatcherFixture::Job("a", "batch", {DispatcherFixture::Step(1, 8)}),
      {}});
  fixture.Advance(100ms);
  REQUIRE(fixture.starts.size() == 1);
  const WorkerName worker = fixture.starts.front().worker;
  fixture.AcceptStarts();
  fixture.Advance(100ms);
  WorkerEntry entry;
  entry.name = worker;
  entry.service.value = "matching";
  entry.capacity = {32'000, 128'000, 8};
  entry.leaving = true;
  fixture.Feed(WorkerListed{entry});
  fixture.Feed(WorkerUnlisted{worker, UnlistedCause::kUnreadable});
  fixture.unresponsive[worker.value] = true;
  fixture.Advance(3s);
  CHECK(fixture.starts.empty());  // It may still run there.
}

}  // namespace
}  // namespace jasminespar::jobs
