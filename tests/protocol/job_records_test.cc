// Job rows and relay messages round-trip, and damaged bytes are rejected.
#include "jasminespar/protocol/job_records.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/protocol/job_peer_message.h"

namespace jasminespar::protocol {
namespace {

jobs::JobProgress MakeProgress() {
  jobs::JobProgress progress;
  progress.job.value = "00000000000000aa";
  progress.phase = jobs::JobPhase::kRunning;
  jobs::TaskProgress done;
  done.step = 1;
  done.index = 17;
  done.done = true;
  jobs::TaskProgress failed;
  failed.index = 3;
  failed.failed_runs = {{11}, {12}};
  failed.checkpoint = "0b";
  progress.tasks = {failed, done};
  return progress;
}

TEST_CASE("job progress round-trips") {
  const jobs::JobProgress written = MakeProgress();
  const jobs::JobProgress read = DecodeJobProgress(Encode(written));
  CHECK(read.job == written.job);
  CHECK(read.phase == written.phase);
  CHECK(read.tasks == written.tasks);
}

TEST_CASE("the stored form of progress keeps to its bound") {
  std::mt19937 random(5);
  for (int i = 0; i < 300; ++i) {
    jobs::JobProgress progress;
    progress.job.value = std::string(random() % 40, 'j');
    const std::uint32_t steps = 1 + random() % 4;
    for (std::uint32_t step = 0; step < steps; ++step) {
      for (std::uint32_t index = 0; index < 200; index += 1 + random() % 90) {
        jobs::TaskProgress task;
        task.step = step;
        task.index = 1000 * (random() % 3) + index;
        task.done = random() % 2 == 0;
        if (!task.done) task.failed_runs.resize(random() % 4);
        if (!task.done) task.checkpoint.resize(random() % 30);
        progress.tasks.push_back(std::move(task));
      }
    }
    std::sort(progress.tasks.begin(), progress.tasks.end(),
              [](const jobs::TaskProgress& a, const jobs::TaskProgress& b) {
                return std::pair(a.step, a.index) < std::pair(b.step, b.index);
              });
    CHECK(Encode(progress).size() <= jobs::StoredSizeBound(progress));
  }
}

TEST_CASE("an accepted job round-trips") {
  jobs::AcceptedJob written;
  written.id.value = "00000000000000aa";
  written.queue.value = "q";
  written.account.value = "school";
  written.accepted_at.value = 5;
  jobs::StepSpec step;
  step.count = 3;
  step.need = {1, 2, 3};
  step.gang = true;
  step.preferred_rack = "r1";
  written.spec.steps = {step, step};
  written.spec.steps[1].after = {0};
  const std::string without_queue = Encode(written);
  written.accepted_under.revision.value = 7;
  written.accepted_under.queue.service.value = "matching";
  written.accepted_under.queue.max_attempts = 4;
  const std::string encoded = Encode(written);
  const jobs::AcceptedJob read = DecodeAcceptedJob(encoded);
  CHECK(read.id == written.id);
  CHECK(read.spec == written.spec);
  CHECK(read.accepted_under == written.accepted_under);
  CHECK(DecodeQueueRecord(Encode(written.accepted_under)) ==
        written.accepted_under);
  // As it was stored before it had its queue's configuration.
  const std::size_t size =
      without_queue.size() - Encode(jobs::QueueRecord{}).size() + 1;
  const jobs::AcceptedJob old = DecodeAcceptedJob(encoded.substr(0, size));
  CHECK(old.spec == written.spec);
  CHECK(old.accepted_under == jobs::QueueRecord{});
}

TEST_CASE("an owner row is read with and without its windows") {
  const jobs::OwnerRow written{
      InstanceId{"owner"}, Epoch{3, 0}, 7, {1500ms, 20ms}};
  const std::string encoded = Encode(written);
  CHECK(DecodeOwnerRow(encoded) == written);
  // As it was stored before it had windows.
  constexpr std::size_t kWindowsSize = 2 * sizeof(Duration::rep);
  const jobs::OwnerRow read =
      DecodeOwnerRow(encoded.substr(0, encoded.size() - kWindowsSize));
  CHECK(read.owner == written.owner);
  CHECK(read.write == written.write);
  CHECK(read.predecessors == jobs::PredecessorWindows{});
}

TEST_CASE("a relayed request and its outcome round-trip") {
  site::Transaction transaction;
  transaction.conditions.push_back({{"t", "p", "k"}, {7}});
  transaction.writes.push_back({{"t", "p", "k"}, "value", {}});
  const JobPeerMessage request_message = RelayRequest{5, transaction};
  const JobPeerMessage decoded_request =
      DecodeJobPeerMessage(Encode(request_message));
  REQUIRE(std::holds_alternative<RelayRequest>(decoded_request));
  const auto& request = std::get<RelayRequest>(decoded_request).request;
  CHECK(std::get<site::Transaction>(request).conditions.at(0).version.value ==
        7);
  const JobPeerMessage reply_message = RelayReply{5, site::Committed{{9}}};
  const JobPeerMessage decoded_reply =
      DecodeJobPeerMessage(Encode(reply_message));
  const auto& outcome = std::get<RelayReply>(decoded_reply).outcome;
  CHECK(std::get<site::Committed>(outcome).version.value == 9);
}

TEST_CASE(
    "truncated rows are rejected, damaged rows never read out of bounds") {
  const std::string encoded = Encode(MakeProgress());
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK_THROWS_AS(DecodeJobProgress(encoded.substr(0, size)), Error);
  }
  std::mt19937 random(3);
  for (int i = 0; i < 2'000; ++i) {
    std::string damaged = encoded;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    try {
      static_cast<void>(DecodeJobProgress(damaged));
    } catch (const Error&) {
      SUCCEED();
    }
  }
}

}  // namespace
}  // namespace jasminespar::protocol
