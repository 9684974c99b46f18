#include "jasminespar/standins/endpoint_model.h"

#include <catch2/catch.hpp>

namespace jasminespar::standins {
namespace {

using cell::TaskState;

struct Fixture {
  explicit Fixture(const EndpointSettings& settings = {})
      : model(settings, checkpoints) {}

  cell::TaskOrder MakeOrder(std::uint64_t call, std::uint64_t mask,
                            bool start_now) const {
    cell::TaskOrder order;
    order.task.call = {0, call};
    order.task.attempt = {1};
    order.cell = sender.cell;
    order.epoch = sender.epoch;
    order.accelerators = mask;
    order.hold = 1s;
    order.start_now = start_now;
    order.body = "run_ms=100";
    return order;
  }

  Checkpoints checkpoints;
  EndpointModel model;
  Sender sender{{"dc/0"}, {7, 0}};
  TaskKey key{{0, 1}, {1}};
  TimePoint now{1s};
};

bool Is(const EndpointModel::StateOrReason& result, TaskState state) {
  return result == EndpointModel::StateOrReason(state);
}

bool Is(const EndpointModel::StateOrReason& result, Reason reason) {
  return result == EndpointModel::StateOrReason(reason);
}

TEST_CASE("a task runs for its run time and keeps its answer until forgotten") {
  Fixture f;
  CHECK(Is(f.model.Order(f.MakeOrder(1, 1, true), f.now), TaskState::kRunning));
  f.model.Advance(f.now + 99ms);
  CHECK(f.model.Report(0).tasks[0].state == TaskState::kRunning);
  f.model.Advance(f.now + 100ms);
  CHECK(f.model.Report(0).tasks[0].state == TaskState::kSucceeded);
  CHECK(std::get<Answer>(f.model.AnswerOf(f.key)).body ==
        MakeEndpointAnswer({0, 1}, "run_ms=100"));
  f.model.Forget(f.key);
  CHECK(f.model.Report(0).tasks.empty());
  CHECK(f.model.runs().size() == 1);
}

TEST_CASE("a held task occupies accelerators and cannot start once lapsed") {
  Fixture f;
  CHECK(Is(f.model.Order(f.MakeOrder(1, 3, false), f.now), TaskState::kHeld));
  CHECK(Is(f.model.Order(f.MakeOrder(2, 2, false), f.now),
           Reason::kWorkerRefused));
  CHECK(Is(f.model.Release(f.key, f.sender, f.now + 1s), Reason::kHoldExpired));
  CHECK(Is(f.model.Order(f.MakeOrder(1, 3, true), f.now + 1s),
           TaskState::kNeverStarted));
  CHECK(f.model.runs().empty());
}

TEST_CASE("a task that is stopped before its order arrives never starts") {
  Fixture f;
  CHECK(Is(f.model.Stop(f.key, cell::StopMode::kAbort, f.sender, f.now),
           TaskState::kNeverStarted));
  CHECK(Is(f.model.Order(f.MakeOrder(1, 1, true), f.now),
           TaskState::kNeverStarted));
  CHECK(f.model.runs().empty());
}

TEST_CASE("a lower epoch is refused unless epochs are not compared") {
  const Sender lower{{"dc/0"}, {6, 9}};
  Fixture f;
  CHECK_FALSE(f.model.RenewLease(f.sender, f.now));
  CHECK(f.model.RenewLease(lower, f.now) == Reason::kStaleEpoch);
  EndpointSettings settings;
  settings.compare_epochs = false;
  Fixture unchecked(settings);
  CHECK_FALSE(unchecked.model.RenewLease(unchecked.sender, unchecked.now));
  CHECK_FALSE(unchecked.model.RenewLease(lower, unchecked.now));
}

TEST_CASE("an expired lease stops what runs and cancels what is held") {
  Fixture f;
  f.model.RenewLease(f.sender, f.now);
  cell::TaskOrder held = f.MakeOrder(2, 2, false);
  held.hold = 1h;
  cell::TaskOrder running = f.MakeOrder(1, 1, true);
  running.body = "run_ms=3600000";
  f.model.Order(running, f.now);
  f.model.Order(held, f.now);
  f.model.Advance(f.now + 10s);
  const TaskReport report = f.model.Report(0);
  CHECK(report.tasks[0].state == TaskState::kStopped);
  CHECK(report.tasks[1].state == TaskState::kNeverStarted);
}

TEST_CASE("a leaving worker refuses new tasks and keeps old ones") {
  Fixture f;
  f.model.Order(f.MakeOrder(1, 1, false), f.now);
  f.model.SetLeaving(true);
  CHECK(Is(f.model.Order(f.MakeOrder(2, 2, true), f.now),
           Reason::kWorkerLeaving));
  CHECK(Is(f.model.Release(f.key, f.sender, f.now), TaskState::kRunning));
}

TEST_CASE("a task resumes from its checkpoint") {
  Fixture f;
  f.model.Order(f.MakeOrder(1, 1, true), f.now);
  f.model.Stop(f.key, cell::StopMode::kCheckpoint, f.sender, f.now + 60ms);
  cell::TaskOrder again = f.MakeOrder(1, 1, true);
  again.task.attempt = {2};
  f.model.Order(again, f.now + 1s);
  f.model.Advance(f.now + 1s + 40ms);
  CHECK(f.model.runs()[1].state == TaskState::kSucceeded);
}

TEST_CASE("a restart loses the tasks but keeps the records of what ran") {
  Fixture f;
  f.model.Order(f.MakeOrder(1, 1, true), f.now);
  f.model.Restart(f.now);
  CHECK(f.model.Report(0).tasks.empty());
  CHECK(f.model.restarts() == 1);
  REQUIRE(f.model.runs().size() == 1);
  CHECK(f.model.runs()[0].state == TaskState::kStopped);
}

}  // namespace
}  // namespace jasminespar::standins
