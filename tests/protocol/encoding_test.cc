#include <catch2/catch.hpp>
#include <random>

#include "jasminespar/core/error.h"
#include "jasminespar/protocol/journal_batch.h"
#include "jasminespar/protocol/ownership_row.h"
#include "jasminespar/protocol/peer_message.h"

namespace jasminespar::protocol {
namespace {

CallRequest MakeRequest() {
  CallRequest request;
  request.key = {{"school"}, {"matching"}, "key-1"};
  request.id = IdOf(request.key);
  request.idempotence = Idempotence::kNonIdempotent;
  request.delivery = Delivery::kCollect;
  request.priority = Priority::kUrgent;
  request.gang = {16, Adjacency::kRack};
  request.time_left = 5s;
  request.declared_run_time = 2s;
  request.body = std::string("a\0b", 3);
  return request;
}

membership::Heartbeat MakeHeartbeat() {
  membership::Heartbeat heartbeat;
  heartbeat.instance.value = "a1";
  heartbeat.incarnation = 7;
  heartbeat.sequence = 9;
  heartbeat.peer = {"127.0.0.1", 9001};
  heartbeat.leaving = true;
  heartbeat.revision.value = 12;
  membership::OwnedCell cell;
  cell.cell.value = "dc-a/0";
  cell.epoch = {3, 1};
  cell.load.waiting_jobs = 5;
  heartbeat.cells.push_back(cell);
  return heartbeat;
}

TEST_CASE("a forwarded call round-trips") {
  const CallRequest request = MakeRequest();
  const PeerMessage decoded = DecodePeerMessage(
      Encode(PeerMessage(ForwardedCall{4, {"dc-a/0"}, 1, SubmitOp{request}})));
  const auto& call = std::get<ForwardedCall>(decoded);
  CHECK(call.number == 4);
  CHECK(call.cell.value == "dc-a/0");
  CHECK(std::get<SubmitOp>(call.op).request == request);
}

TEST_CASE("each kind of reply round-trips") {
  const std::vector<cell::CallReply> replies{
      Answer{201, "whole"},
      Refusal{Reason::kQueueFull, Verdict::kNotRun, 250ms, "full"},
      cell::CallStatus{{1, 2}, cell::CallState::kRunning, {3}, "why"},
      cell::CallAcceptedReply{{1, 2}}};
  for (const cell::CallReply& reply : replies) {
    const PeerMessage decoded =
        DecodePeerMessage(Encode(PeerMessage(ForwardedReply{5, reply})));
    CHECK(std::get<ForwardedReply>(decoded).reply.index() == reply.index());
  }
}

TEST_CASE("a heartbeat round-trips") {
  const membership::Heartbeat sent = MakeHeartbeat();
  const membership::Heartbeat decoded = DecodeHeartbeat(Encode(sent));
  CHECK(decoded.instance == sent.instance);
  CHECK(decoded.sequence == sent.sequence);
  CHECK(decoded.peer == sent.peer);
  CHECK(decoded.leaving);
  CHECK(decoded.revision == sent.revision);
  REQUIRE(decoded.cells.size() == 1);
  CHECK(decoded.cells[0].epoch == sent.cells[0].epoch);
  CHECK(decoded.cells[0].load.waiting_jobs == 5);
}

TEST_CASE("a journal batch round-trips") {
  JournalBatch batch{{2, 0}, 17, {}};
  batch.records.push_back(cell::CallAccepted{MakeRequest(), {99}});
  scheduling::Placement placement{{{WorkerId{3}, 0xff}}};
  batch.records.push_back(cell::AttemptStarting{{1, 2}, {1}, placement});
  batch.records.push_back(cell::AttemptNeverStarted{{1, 2}, {1}});
  batch.records.push_back(cell::CallEnded{{1, 2}, Answer{200, "x"}, {100}});
  const JournalBatch decoded = DecodeJournalBatch(Encode(batch));
  CHECK(decoded.epoch == batch.epoch);
  CHECK(decoded.number == 17);
  REQUIRE(decoded.records.size() == 4);
  CHECK(std::get<cell::AttemptStarting>(decoded.records[1]).placement ==
        placement);
}

TEST_CASE("trailing bytes are rejected") {
  const std::string bytes = Encode(MakeHeartbeat()) + "x";
  CHECK_THROWS_AS(DecodeHeartbeat(bytes), Error);
}

TEST_CASE("damaged bytes are decoded or rejected as malformed") {
  std::mt19937_64 random(20261204);
  const std::vector<std::string> originals{
      Encode(PeerMessage(ForwardedCall{4, {"c"}, 1, SubmitOp{MakeRequest()}})),
      Encode(PeerMessage(Notes{{3}, false, {"one", "two"}}))};
  const std::string heartbeat = Encode(MakeHeartbeat());
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = i % 3 == 0 ? heartbeat : originals[i % 2];
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(bytes.size() - random() % 4);
    try {
      if (i % 3 == 0) {
        static_cast<void>(DecodeHeartbeat(bytes));
      } else {
        static_cast<void>(DecodePeerMessage(bytes));
      }
    } catch (const Error& error) {
      ++refused;
      CHECK(error.reason() == Reason::kMalformedRequest);
    }
  }
  CHECK(refused > 0);
}

}  // namespace
}  // namespace jasminespar::protocol
