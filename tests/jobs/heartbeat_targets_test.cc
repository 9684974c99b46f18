// Heartbeats among many instances: how many each sends and receives, and how
// fast news reaches all of them.
#include "jasminespar/jobs/heartbeat_targets.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace jasminespar::jobs {
namespace {

using Site = std::map<InstanceId, HeartbeatTargets>;

Site MakeSite(std::size_t size) {
  Site site;
  for (std::size_t i = 0; i < size; ++i) {
    const InstanceId name{"edge-" + std::to_string(i)};
    site.emplace(name, HeartbeatTargets(name));
  }
  for (auto& [name, targets] : site) {
    for (const auto& [member, ignored] : site) targets.Add(member);
  }
  return site;
}

TEST_CASE("in a small site every heartbeat reaches every peer") {
  for (const auto& [name, targets] : MakeSite(6)) {
    CHECK(targets.neighbours().size() == 5);
  }
}

TEST_CASE("heartbeats of an instance do not grow with the site") {
  for (const std::size_t size : {97, 300, 1000}) {
    std::map<InstanceId, std::size_t> received;
    std::size_t most_sent = 0;
    for (const auto& [name, targets] : MakeSite(size)) {
      most_sent = std::max(most_sent, targets.neighbours().size());
      for (const InstanceId& peer : targets.neighbours()) ++received[peer];
    }
    constexpr std::size_t kMost = 10;
    CHECK(most_sent <= kMost);
    CHECK(received.size() == size);
    for (const auto& [name, count] : received) CHECK(count <= kMost);
  }
}

TEST_CASE("news that each instance passes on reaches all within ten steps") {
  const Site site = MakeSite(300);
  std::set<InstanceId> informed{site.begin()->first};
  for (int step = 0; step < 10; ++step) {
    for (const InstanceId& name : std::set<InstanceId>(informed)) {
      const auto& peers = site.at(name).neighbours();
      informed.insert(peers.begin(), peers.end());
    }
  }
  CHECK(informed.size() == site.size());
}

TEST_CASE("a search for a peer reaches all of them") {
  Site site = MakeSite(97);
  HeartbeatTargets& targets = site.begin()->second;
  std::set<InstanceId> searched;
  for (int round = 0; round < 4; ++round) {
    for (const InstanceId& peer : targets.NextSearched()) searched.insert(peer);
  }
  CHECK(searched.size() == 96);
}

}  // namespace
}  // namespace jasminespar::jobs
