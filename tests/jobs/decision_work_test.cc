// Work of a decision on a full cell, and what it must not leave out.
#include <catch2/catch.hpp>
#include <string>

#include "dispatcher_fixture.h"

namespace jasminespar::jobs {
namespace {

/// One worker with all but one of its accelerators in use.
struct NearlyFullCell : DispatcherFixture {
  NearlyFullCell() {
    AddWorker("w1");
    FinishLoading();
    Advance(200ms);
    Load("first", Step(1, 7));
    AcceptStarts();
  }

  void Load(const std::string& id, const StepSpec& step) {
    Feed(JobLoaded{Job(id, "batch", {step}), {}});
    Advance(3s);
  }
};

TEST_CASE("a smaller step starts although a larger one before it has no room") {
  NearlyFullCell cell;
  cell.Load("large", DispatcherFixture::Step(1, 4));
  CHECK(cell.starts.empty());
  cell.Load("small", DispatcherFixture::Step(1, 1));
  CHECK(cell.starts.size() == 1);
}

TEST_CASE("a step without limits starts although one bound to a rack waits") {
  NearlyFullCell cell;
  cell.AddWorker("w2", "r2");
  StepSpec bound = DispatcherFixture::Step(1, 8);
  bound.preferred_rack = "r1";
  bound.estimate = 60s;
  cell.Load("bound", bound);
  CHECK(cell.starts.empty());
  StepSpec other = DispatcherFixture::Step(1, 8);
  cell.Load("other", other);
  CHECK(cell.starts.size() == 1);
}

TEST_CASE("a step limited on each worker does not hold back one without") {
  NearlyFullCell cell;
  StepSpec spread = DispatcherFixture::Step(3, 0);
  spread.max_tasks_per_worker = 1;
  cell.Load("spread", spread);
  CHECK(cell.starts.size() == 1);
  cell.Load("free", DispatcherFixture::Step(2, 0));
  CHECK(cell.starts.size() == 3);
}

}  // namespace
}  // namespace jasminespar::jobs
