#include "jasminespar/membership/provisional.h"

#include <catch2/catch.hpp>
#include <set>

namespace jasminespar::membership {
namespace {

const TimePoint kStart{1000s};
const CellId kCell{"dc-a/0"};
const std::vector<ProvisionalCandidate> kCells{
    {kCell, {WorkerId{1}, WorkerId{2}, WorkerId{3}}, Epoch{5, 0}}};

View SingleMemberView() {
  View view;
  view.self = InstanceId{"a1"};
  Member self;
  self.id = view.self;
  self.data_centre = DataCentreId{"dc-a"};
  self.state = MemberState::kLive;
  view.members.push_back(self);
  return view;
}

TEST_CASE(
    "A cell is served provisionally after most workers granted its epoch") {
  ProvisionalPlanner planner({}, InstanceId{"a1"}, 1);
  const View view = SingleMemberView();
  CHECK(planner.Plan(view, kCells, std::nullopt, kStart).empty());
  CHECK(planner.Plan(view, kCells, kStart, kStart + 2s).empty());
  const auto actions = planner.Plan(view, kCells, kStart, kStart + 3s);
  REQUIRE(actions.size() == 1);
  const Epoch epoch = std::get<RequestLeases>(actions[0]).epoch;
  CHECK(epoch > Epoch{5, 0});
  CHECK(epoch < Epoch{6, 0});
  CHECK(planner.HandleLeaseGranted(kCell, epoch, WorkerId{1}).empty());
  CHECK(planner.HandleLeaseGranted(kCell, epoch, WorkerId{1}).empty());
  CHECK(planner.HandleLeaseGranted(kCell, epoch, WorkerId{2}).size() == 1);
  CHECK(planner.IsServing(kCell));
  planner.HandleDurableEpoch(kCell);
  CHECK_FALSE(planner.IsServing(kCell));
}

TEST_CASE("A live owner or a higher epoch prevents provisional ownership") {
  ProvisionalPlanner planner({}, InstanceId{"a1"}, 1);
  View view = SingleMemberView();
  Member other = view.members[0];
  other.id = InstanceId{"a2"};
  view.members.push_back(other);
  view.cells.push_back(
      CellOwner{kCell, other.id, Epoch{5, 0}, false, {}, kStart});
  CHECK(planner.Plan(view, kCells, kStart, kStart + 1h).empty());
  view.members[1].state = MemberState::kSuspected;
  CHECK(planner.Plan(view, kCells, kStart, kStart + 1h).size() == 1);
  view.cells[0].epoch = Epoch{6, 0};
  const auto actions = planner.Plan(view, kCells, kStart, kStart + 1h);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<EndProvisional>(actions[0]));
}

TEST_CASE("Provisional epochs of two instances differ and only increase") {
  Epoch epoch{5, 0};
  for (int i = 0; i < 4000; ++i) {
    const auto first = NextProvisionalEpoch(epoch, InstanceId{"a1"}, 1);
    const auto second = NextProvisionalEpoch(epoch, InstanceId{"a2"}, 1);
    REQUIRE(first.has_value());
    REQUIRE(*first > epoch);
    REQUIRE(*first != *second);
    epoch = *first;
  }
  epoch.provisional = ~0U;
  CHECK_FALSE(NextProvisionalEpoch(epoch, InstanceId{"a1"}, 1).has_value());
}

TEST_CASE("Instances with similar ids and incarnations share no epoch") {
  std::set<Epoch> epochs;
  for (int i = 10; i < 99; ++i) {
    const InstanceId id{"b" + std::to_string(i)};
    const auto incarnation = static_cast<std::uint64_t>(i + 1);
    epochs.insert(*NextProvisionalEpoch(Epoch{5, 0}, id, incarnation));
  }
  CHECK(epochs.size() == 89);
}

TEST_CASE("An attempt with too few grants does not use up a round") {
  ProvisionalPlanner planner({}, InstanceId{"a1"}, 1);
  const View view = SingleMemberView();
  const auto first = planner.Plan(view, kCells, kStart, kStart + 3s);
  CHECK(planner.Plan(view, kCells, kStart, kStart + 7s).size() == 1);
  const auto again = planner.Plan(view, kCells, kStart, kStart + 8s);
  REQUIRE(again.size() == 1);
  CHECK(std::get<RequestLeases>(first[0]).epoch ==
        std::get<RequestLeases>(again[0]).epoch);
}

}  // namespace
}  // namespace jasminespar::membership
