#include "jasminespar/protocol/job_peer_message.h"

#include <catch2/catch.hpp>

#include "jasminespar/core/error.h"

namespace jasminespar::protocol {
namespace {

ConfigurationReply MakeReply() {
  ConfigurationReply reply;
  reply.change.base = Revision{3};
  reply.change.version = Revision{8};
  reply.change.removed_queues = {{{"old"}, "a.example", "/old/"}};
  jobs::QueueConfiguration queue;
  queue.name.value = "match";
  queue.host = "a.example";
  queue.prefix = "/match/";
  queue.service.value = "matching";
  queue.is_public = true;
  queue.priority = 2;
  queue.max_attempts = 4;
  queue.slack_factor = 1.5;
  queue.target_runtime = 250ms;
  reply.change.queues = {queue};
  reply.change.removed_accounts = {{"gone"}};
  reply.change.accounts = {{{"school"}, {"key-1", "key-2"}, 8}};
  reply.change.max_body_bytes = 400;
  reply.row.value = 17;
  return reply;
}

TEST_CASE("a change of the configuration survives encoding") {
  const ConfigurationReply sent = MakeReply();
  const JobPeerMessage message =
      DecodeJobPeerMessage(Encode(JobPeerMessage(sent)));
  const auto& received = std::get<ConfigurationReply>(message);
  CHECK(received.change.base == sent.change.base);
  CHECK(received.change.version == sent.change.version);
  CHECK(received.change.removed_queues == sent.change.removed_queues);
  CHECK(received.change.queues == sent.change.queues);
  CHECK(received.change.removed_accounts == sent.change.removed_accounts);
  CHECK(received.change.accounts == sent.change.accounts);
  CHECK(received.change.max_body_bytes == sent.change.max_body_bytes);
  CHECK(received.row == sent.row);
}

TEST_CASE("a truncated change of the configuration is rejected") {
  const std::string bytes = Encode(JobPeerMessage(MakeReply()));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_THROWS_AS(DecodeJobPeerMessage(bytes.substr(0, size)), Error);
  }
}

TEST_CASE("a heartbeat says what its sender knows of the configuration") {
  PeerHeartbeat sent;
  sent.instance.value = "edge-1";
  sent.configuration = Revision{8};
  sent.configuration_age = 120ms;
  sent.watches_configuration = true;
  sent.configuration_read_time = 30ms;
  const PeerHeartbeat received = DecodePeerHeartbeat(Encode(sent));
  CHECK(received.configuration == sent.configuration);
  CHECK(received.configuration_age == sent.configuration_age);
  CHECK(received.watches_configuration);
  CHECK(received.configuration_read_time == sent.configuration_read_time);
}

}  // namespace
}  // namespace jasminespar::protocol
