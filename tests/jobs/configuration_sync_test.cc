// When to read the configuration from the table, and which peer to ask.
#include "jasminespar/jobs/configuration_sync.h"

#include <catch2/catch.hpp>
#include <map>

namespace jasminespar::jobs {
namespace {

const InstanceId kFast{"fast"};
const InstanceId kOther{"other"};

TimePoint At(Duration time) { return TimePoint(1h + time); }

PeerConfiguration Watching(const InstanceId& peer, std::uint64_t version,
                           Duration confirmed_at) {
  return {peer, Revision{version}, At(confirmed_at), true, 50ms};
}

PeerConfiguration Holding(const InstanceId& peer, std::uint64_t version) {
  return {peer, Revision{version}, std::nullopt, false, 2s};
}

struct Fixture {
  /// The table returned a version, and the read took so long.
  void Read(std::uint64_t version, Duration read_time, Duration now) {
    sync.SetVersion(Revision{version}, At(now));
    sync.HandleTableAnswer(Revision{version}, At(now), read_time);
  }

  std::optional<InstanceId> Choose(Duration now) {
    return sync.ChoosePeer(At(now), random);
  }

  ConfigurationSync sync{InstanceId{"self"}};
  std::mt19937_64 random{1};
};

TEST_CASE("an instance without a configuration reads the table at once") {
  Fixture fixture;
  fixture.sync.HandlePeers({Watching(kFast, 3, 0s)}, At(0s));
  CHECK(fixture.sync.TableReadDelay(At(0s)) == Duration{});
}

TEST_CASE("an instance with cheap reads always watches the table") {
  Fixture fixture;
  fixture.Read(3, ConfigurationSync::kCheapRead, 0s);
  std::vector<PeerConfiguration> peers;
  for (const char* name : {"a", "b", "c", "d"}) {
    peers.push_back({{name}, Revision{3}, At(0s), true, 1ms});
  }
  fixture.sync.HandlePeers(peers, At(0s));
  CHECK(fixture.sync.WatchesTable(At(0s)));
}

TEST_CASE("three instances watch the table when all read it alike") {
  const std::vector<InstanceId> all{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
  std::vector<PeerConfiguration> states;
  for (const InstanceId& instance : all) {
    states.push_back({instance, Revision{3}, At(0s), true, 100ms});
  }
  std::vector<InstanceId> watching;
  for (const InstanceId& self : all) {
    ConfigurationSync sync{self};
    sync.SetVersion(Revision{3}, At(0s));
    sync.HandleTableAnswer(Revision{3}, At(0s), 90ms);
    std::vector<PeerConfiguration> peers = states;
    std::erase_if(peers, [&](const auto& p) { return p.instance == self; });
    sync.HandlePeers(peers, At(10ms));
    if (sync.WatchesTable(At(10ms))) watching.push_back(self);
  }
  CHECK(watching == std::vector<InstanceId>{{"a"}, {"b"}, {"c"}});
}

TEST_CASE("an instance watches the table again when a watching peer is lost") {
  ConfigurationSync sync{InstanceId{"d"}};
  sync.SetVersion(Revision{3}, At(0s));
  sync.HandleTableAnswer(Revision{3}, At(0s), 100ms);
  std::vector<PeerConfiguration> peers;
  for (const char* name : {"a", "b", "c"}) {
    peers.push_back({{name}, Revision{3}, At(0s), true, 100ms});
  }
  sync.HandlePeers(peers, At(0s));
  CHECK_FALSE(sync.WatchesTable(At(0s)));
  peers.pop_back();
  sync.HandlePeers(peers, At(0s));
  CHECK(sync.WatchesTable(At(0s)));
}

TEST_CASE("a slow instance leaves the watch to a peer that confirms") {
  Fixture fixture;
  fixture.Read(3, 2s, 0s);
  CHECK(fixture.sync.TableReadDelay(At(0s)) == Duration{});
  fixture.sync.HandlePeers({Watching(kFast, 3, 100ms)}, At(200ms));
  CHECK(fixture.sync.TableReadDelay(At(200ms)) ==
        ConfigurationSync::kConfirmationLimit - 100ms);
  CHECK(fixture.sync.TableReadDelay(At(5s)) == Duration{});
  CHECK_FALSE(fixture.sync.WatchesTable(At(200ms)));

  SECTION("but not to one that does not watch the table") {
    fixture.sync.HandlePeers({Holding(kFast, 3)}, At(200ms));
    CHECK(fixture.sync.TableReadDelay(At(200ms)) == Duration{});
  }
  SECTION("nor to one with an older version") {
    fixture.sync.HandlePeers({Watching(kFast, 2, 100ms)}, At(200ms));
    CHECK(fixture.sync.TableReadDelay(At(200ms)) == Duration{});
  }
  SECTION("and no longer when a newer version does not come from it") {
    const Duration limit = ConfigurationSync::kConfirmationLimit;
    fixture.sync.HandlePeers({Watching(kFast, 4, 200ms)}, At(200ms));
    CHECK(fixture.sync.TableReadDelay(At(200ms)) > Duration{});
    fixture.sync.HandlePeers({Watching(kFast, 4, limit)}, At(limit));
    CHECK(fixture.sync.TableReadDelay(At(limit)) > Duration{});
    CHECK(fixture.sync.TableReadDelay(At(limit + 200ms)) == Duration{});
  }
}

TEST_CASE("a version that comes from a peer is not confirmed by its holder") {
  Fixture fixture;
  fixture.Read(3, 100ms, 0s);
  CHECK(fixture.sync.confirmed_at() == At(0s));
  fixture.sync.SetVersion(Revision{4}, At(1s));
  CHECK_FALSE(fixture.sync.confirmed_at().has_value());
  fixture.sync.HandleTableAnswer(Revision{3}, At(2s), std::nullopt);
  CHECK_FALSE(fixture.sync.confirmed_at().has_value());
  fixture.sync.HandleTableAnswer(Revision{4}, At(3s), std::nullopt);
  CHECK(fixture.sync.confirmed_at() == At(3s));
}

TEST_CASE("a lower version never replaces a higher one") {
  Fixture fixture;
  fixture.sync.SetVersion(Revision{4}, At(0s));
  fixture.sync.SetVersion(Revision{3}, At(1s));
  CHECK(fixture.sync.version() == Revision{4});
}

TEST_CASE("an instance that is behind asks a peer that watches the table") {
  Fixture fixture;
  fixture.Read(3, 2s, 0s);
  CHECK_FALSE(fixture.Choose(0s));
  fixture.sync.HandlePeers(
      {Holding(kOther, 4), Watching(kFast, 4, 100ms), Holding({"old"}, 3)},
      At(200ms));
  CHECK(fixture.Choose(200ms) == kFast);
  CHECK_FALSE(fixture.Choose(300ms));
}

TEST_CASE("an instance that watches the table waits for it before it asks") {
  Fixture fixture;
  fixture.Read(3, 100ms, 0s);
  fixture.sync.HandlePeers({Watching(kFast, 4, 0s)}, At(0s));
  CHECK_FALSE(fixture.Choose(0s));
  CHECK(fixture.Choose(ConfigurationSync::kTableHeadStart) == kFast);

  SECTION("but not when the table refuses it") {
    Fixture refused;
    refused.Read(3, 100ms, 0s);
    refused.sync.HandleTableFailure();
    refused.sync.HandlePeers({Watching(kFast, 4, 0s)}, At(0s));
    CHECK(refused.Choose(0s) == kFast);
  }
}

TEST_CASE("a silent peer is followed by another after ever longer waits") {
  Fixture fixture;
  fixture.Read(3, 2s, 0s);
  fixture.sync.HandlePeers({Watching(kFast, 4, 0s), Holding(kOther, 4)},
                           At(0s));
  CHECK(fixture.Choose(0s) == kFast);
  CHECK(fixture.Choose(1s) == kOther);
  CHECK_FALSE(fixture.Choose(2s));
  CHECK(fixture.Choose(3s) == kFast);
  CHECK_FALSE(fixture.Choose(6s));
  CHECK(fixture.Choose(7s) == kOther);
}

TEST_CASE("any progress ends the wait for a silent peer") {
  Fixture fixture;
  fixture.Read(3, 2s, 0s);
  fixture.sync.HandlePeers({Watching(kFast, 5, 0s)}, At(0s));
  CHECK(fixture.Choose(0s) == kFast);
  SECTION("a reply") {
    fixture.sync.HandlePeerReply(kFast);
    CHECK(fixture.Choose(10ms) == kFast);
  }
  SECTION("a version from the table") {
    fixture.sync.SetVersion(Revision{4}, At(10ms));
    CHECK(fixture.Choose(10ms) == kFast);
  }
  SECTION("the newest version") {
    fixture.sync.SetVersion(Revision{5}, At(10ms));
    CHECK_FALSE(fixture.Choose(10ms));
  }
}

TEST_CASE("peers with the newest version are asked alike") {
  std::map<InstanceId, int> asked;
  Fixture fixture;
  fixture.Read(3, 2s, 0s);
  for (int i = 0; i < 200; ++i) {
    fixture.sync.HandlePeers({Watching(kFast, 4, 0s), Watching(kOther, 4, 0s)},
                             At(0s));
    const std::optional<InstanceId> peer = fixture.Choose(0s);
    REQUIRE(peer);
    ++asked[*peer];
    fixture.sync.HandlePeerReply(*peer);
  }
  CHECK(asked[kFast] > 50);
  CHECK(asked[kOther] > 50);
}

}  // namespace
}  // namespace jasminespar::jobs
