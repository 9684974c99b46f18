#include "jasminespar/membership/ownership.h"

#include <catch2/catch.hpp>

#include "jasminespar/membership/rendezvous.h"

namespace jasminespar::membership {
namespace {

using configuration::MachineState;

const TimePoint kStart{1000s};
const CellId kCell{"dc-a/0"};
const std::vector<CellId> kCells{kCell};

Member LiveMember(const std::string& id) {
  Member member;
  member.id = InstanceId{id};
  member.data_centre = DataCentreId{"dc-a"};
  member.state = MemberState::kLive;
  return member;
}

/// Three live instances; `self` is the one of the given rank for kCell.
struct Fixture {
  explicit Fixture(std::size_t rank) {
    for (const char* id : {"a1", "a2", "a3"}) {
      view.members.push_back(LiveMember(id));
    }
    ranked = RankCandidates(
        kCell, {InstanceId{"a1"}, InstanceId{"a2"}, InstanceId{"a3"}});
    view.self = ranked[rank];
    view.data_centre = DataCentreId{"dc-a"};
    planner.emplace(OwnershipSettings{}, view.self, configuration::Address{},
                    7);
  }

  std::vector<OwnershipAction> Plan(Duration at) {
    return planner->Plan(view, kCells, kStart + at);
  }

  /// Answers the first ReadRow with a row that names `owner`, at version 3.
  void Read(const InstanceId& owner, Duration at) {
    const auto actions = Plan(at);
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<ReadRow>(actions[0]));
    CHECK(planner->HandleRowRead(kCell, Row(owner), kStart + at).empty());
  }

  static VersionedRow Row(const InstanceId& owner) {
    return VersionedRow{OwnershipRow{kCell, owner, {}, Epoch{5, 0}, 99}, 3};
  }

  /// Makes the planner claim and own the cell.
  void ClaimOwnership() {
    Read(InstanceId{}, 0s);
    REQUIRE(Claimed(Plan(2s)) == std::nullopt);  // The row is too old.
    CHECK(planner->HandleRowRead(kCell, Row({}), kStart + 2s).empty());
    REQUIRE(Claimed(Plan(2s)).has_value());
    planner->HandleWriteCommitted(kCell, 4, kStart + 2s);
  }

  static std::optional<ClaimCell> Claimed(
      const std::vector<OwnershipAction>& actions) {
    if (actions.empty()) return std::nullopt;
    const auto* claim = std::get_if<ClaimCell>(&actions[0]);
    return claim == nullptr ? std::nullopt : std::optional(*claim);
  }

  void Suspect(const InstanceId& id) {
    for (Member& member : view.members) {
      if (member.id == id) member.state = MemberState::kSuspected;
    }
  }

  View view;
  std::vector<InstanceId> ranked;
  std::optional<OwnershipPlanner> planner;
};

TEST_CASE("The first-ranked candidate claims a released cell at once") {
  Fixture fixture(0);
  fixture.Read(InstanceId{}, 0s);
  const auto claim = Fixture::Claimed(fixture.Plan(0s));
  REQUIRE(claim.has_value());
  CHECK(claim->expected_version == 3);
  CHECK(claim->row.epoch == Epoch{6, 0});
  CHECK(claim->row.owner == fixture.view.self);
  CHECK(fixture.Plan(1s).empty());  // In progress.
}

TEST_CASE("A lower-ranked candidate claims only after its delay") {
  Fixture fixture(1);
  fixture.Read(InstanceId{}, 0s);
  CHECK(fixture.Plan(0s).empty());
  CHECK(fixture.Plan(499ms).empty());
  CHECK(Fixture::Claimed(fixture.Plan(500ms)).has_value());
}

TEST_CASE("A suspected owner is replaced and a live one is not") {
  Fixture fixture(0);
  fixture.Read(fixture.ranked[2], 0s);
  CHECK(fixture.Plan(500ms).empty());
  fixture.Suspect(fixture.ranked[2]);
  CHECK(Fixture::Claimed(fixture.Plan(600ms)).has_value());
}

TEST_CASE(
    "After a claim without an answer the row is read; no claim is repeated") {
  const bool took_effect = GENERATE(true, false);
  Fixture fixture(0);
  fixture.Read(InstanceId{}, 0s);
  const auto claim = Fixture::Claimed(fixture.Plan(0s));
  REQUIRE(claim.has_value());
  fixture.planner->HandleWriteUnknown(kCell, kStart);
  const auto actions = fixture.Plan(0s);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReadRow>(actions[0]));
  const VersionedRow read =
      took_effect ? VersionedRow{claim->row, 4} : Fixture::Row({});
  CHECK(fixture.planner->HandleRowRead(kCell, read, kStart).empty());
  CHECK(fixture.planner->owned_cells().contains(kCell) == took_effect);
}

TEST_CASE("After a claim conflict the cell belongs to the other instance") {
  Fixture fixture(0);
  fixture.Read(InstanceId{}, 0s);
  REQUIRE(Fixture::Claimed(fixture.Plan(0s)).has_value());
  VersionedRow present = Fixture::Row(fixture.ranked[1]);
  present.version = 4;
  CHECK(fixture.planner->HandleWriteConflict(kCell, present, kStart).empty());
  CHECK(fixture.planner->owned_cells().empty());
  CHECK(fixture.Plan(100ms).empty());
}

TEST_CASE("Requests to a failing store are repeated with a growing backoff") {
  Fixture fixture(0);
  REQUIRE(fixture.Plan(0s).size() == 1);
  fixture.planner->HandleStoreFailure(kCell, kStart);
  CHECK(fixture.planner->store_down_since() == kStart);
  CHECK(fixture.Plan(100ms).empty());
  CHECK(fixture.Plan(250ms).size() == 1);
  fixture.planner->HandleStoreFailure(kCell, kStart + 250ms);
  CHECK(fixture.Plan(490ms).empty());
  CHECK(fixture.Plan(750ms).size() == 1);
}

TEST_CASE(
    "A cell moves to a better-ranked instance only after it has been stable") {
  Fixture fixture(1);
  fixture.Suspect(fixture.ranked[0]);
  fixture.ClaimOwnership();
  CHECK(fixture.Plan(3s).empty());
  for (Member& member : fixture.view.members) {
    member.state = MemberState::kLive;
  }
  CHECK(fixture.Plan(4s).empty());
  CHECK(fixture.Plan(33s).empty());
  const auto actions = fixture.Plan(34s);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<StartHandover>(actions[0]));
  fixture.planner->HandleHandoverFinished(kCell, kStart + 35s);
  const auto release = fixture.Plan(35s);
  REQUIRE(release.size() == 1);
  const auto& row = std::get<ReleaseCell>(release[0]).row;
  CHECK(row.owner == InstanceId{});
  CHECK(row.epoch == Epoch{6, 0});
  fixture.planner->HandleWriteCommitted(kCell, 5, kStart + 35s);
  CHECK(fixture.planner->owned_cells().empty());
}

TEST_CASE("An instance that released a cell lets better-ranked ones claim it") {
  Fixture fixture(1);
  fixture.Suspect(fixture.ranked[0]);
  fixture.ClaimOwnership();
  for (Member& member : fixture.view.members) {
    member.state = MemberState::kLive;
  }
  REQUIRE(fixture.Plan(3s).empty());
  REQUIRE(fixture.Plan(33s).size() == 1);
  fixture.planner->HandleHandoverFinished(kCell, kStart + 33s);
  REQUIRE(fixture.Plan(33s).size() == 1);
  fixture.planner->HandleWriteCommitted(kCell, 5, kStart + 33s);
  CHECK(fixture.Plan(33s).empty());
  CHECK(fixture.Plan(34s).empty());  // After its stagger.
  CHECK_FALSE(fixture.Plan(39s).empty());
}

TEST_CASE("A row older than the heartbeats is read again before a claim") {
  Fixture fixture(0);
  fixture.ClaimOwnership();
  fixture.planner->BeginLeave();
  REQUIRE(fixture.Plan(3s).size() == 1);
  fixture.planner->HandleHandoverFinished(kCell, kStart + 3s);
  REQUIRE(fixture.Plan(3s).size() == 1);
  fixture.planner->HandleWriteCommitted(kCell, 5, kStart + 3s);
  fixture.planner->CancelLeave();
  // Another instance owned the cell under a later epoch and released it.
  fixture.view.cells.push_back(
      CellOwner{kCell, InstanceId{}, Epoch{7, 0}, false, {}, kStart});
  const auto actions = fixture.Plan(5s);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReadRow>(actions[0]));
}

TEST_CASE("A leaving instance starts the handover at once and claims nothing") {
  Fixture fixture(0);
  fixture.ClaimOwnership();
  fixture.planner->BeginLeave();
  const auto actions = fixture.Plan(3s);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<StartHandover>(actions[0]));
  CHECK(fixture.planner->HandleEpochRefused(kCell, kStart + 3s).size() == 1);
  CHECK(fixture.Plan(1min).empty());
}

TEST_CASE("An owned cell that is no longer listed is still handed over") {
  Fixture fixture(0);
  fixture.ClaimOwnership();
  fixture.planner->BeginLeave();
  const TimePoint now = kStart + 3s;
  const auto handover = fixture.planner->Plan(fixture.view, {}, now);
  REQUIRE(handover.size() == 1);
  CHECK(std::holds_alternative<StartHandover>(handover[0]));
  fixture.planner->HandleHandoverFinished(kCell, now);
  CHECK(fixture.planner->Plan(fixture.view, {}, now).size() == 1);
}

TEST_CASE("A higher epoch in a heartbeat drops the cell") {
  Fixture fixture(0);
  fixture.ClaimOwnership();
  fixture.view.cells.push_back(
      CellOwner{kCell, fixture.ranked[1], Epoch{7, 0}, false, {}, kStart});
  const auto actions = fixture.Plan(3s);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<DropCell>(actions[0]).epoch == Epoch{6, 0});
}

TEST_CASE(
    "Another data centre takes over only if the list says the owner is gone") {
  Fixture fixture(0);
  for (Member& member : fixture.view.members) {
    member.data_centre = DataCentreId{"dc-b"};
  }
  fixture.view.data_centre = DataCentreId{"dc-b"};
  Member last = LiveMember("a4");
  last.state = MemberState::kSuspected;
  fixture.view.members.push_back(last);
  CHECK(fixture.Plan(0s).empty());
  fixture.view.members.back().listed = MachineState::kGone;
  fixture.Read(InstanceId{}, 0s);
  CHECK(fixture.Plan(0s).empty());
  CHECK(fixture.Plan(9s).empty());
  CHECK(fixture.Plan(10s).size() == 1);
  fixture.view.members.back().state = MemberState::kLive;
  CHECK(fixture.Plan(11s).empty());
}

}  // namespace
}  // namespace jasminespar::membership
