// How long a step waits for the rack that it prefers.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// Of a step whose data is on rack r1.
StepSpec BoundStep() {
  StepSpec step = DispatcherFixture::Step(1, 8);
  step.preferred_rack = "r1";
  step.estimate = 1min;
  return step;
}

/// Workers of two racks; one run occupies the whole of r1.
struct RackFixture : DispatcherFixture {
  RackFixture() {
    AddWorker("home", "r1");
    for (const char* name : {"a", "b", "c", "d", "e"}) AddWorker(name, "r2");
    FinishLoading();
    Advance(200ms);
    Feed(JobLoaded{Job("first", "batch", {BoundStep()}), {}});
    Advance(200ms);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts.front().worker.value == "home");
    AcceptStarts();
  }
};

TEST_CASE(
    "a step waits for its rack at most 2 s while half the service is idle") {
  RackFixture fixture;
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job("second", "batch", {BoundStep()}), {}});
  fixture.Advance(1500ms);
  CHECK(fixture.starts.empty());
  fixture.Advance(700ms);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().worker.value != "home");
}

TEST_CASE("a step waits for its rack longer while the service is busy") {
  RackFixture fixture;
  const StepSpec wide = DispatcherFixture::Step(4, 8);
  fixture.Feed(JobLoaded{DispatcherFixture::Job("wide", "urgent", {wide}), {}});
  fixture.Advance(200ms);
  REQUIRE(fixture.starts.size() == 4);
  fixture.AcceptStarts();
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job("second", "batch", {BoundStep()}), {}});
  fixture.Advance(3500ms);
  CHECK(fixture.starts.empty());
  fixture.Advance(1000ms);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a step does not wait for a rack whose workers are silent") {
  DispatcherFixture fixture;
  fixture.AddWorker("home", "r1");
  fixture.AddWorker("other", "r2");
  fixture.FinishLoading();
  fixture.Advance(200ms);
  fixture.unresponsive["home"] = true;
  fixture.Advance(4s);
  fixture.Feed(
      JobLoaded{DispatcherFixture::Job("second", "batch", {BoundStep()}), {}});
  fixture.Advance(200ms);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts.front().worker.value == "other");
}

}  // namespace
}  // namespace jasminespar::jobs
