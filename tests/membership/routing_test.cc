#include "jasminespar/membership/routing.h"

#include <catch2/catch.hpp>
#include <map>

namespace jasminespar::membership {
namespace {

const TimePoint kStart{1000s};
const CellId kCell{"dc-a/0"};

View ViewWithOwner(const std::string& owner, MemberState state) {
  View view;
  view.self = InstanceId{"a1"};
  for (const char* id : {"a1", "a2"}) {
    Member member;
    member.id = InstanceId{id};
    member.state = state;
    view.members.push_back(member);
  }
  view.cells.push_back(
      CellOwner{kCell, InstanceId{owner}, Epoch{3, 0}, false, {}, kStart});
  return view;
}

Reason ReasonOf(const RouteDecision& decision) {
  return std::get<RefuseRoute>(decision).refusal.reason;
}

TEST_CASE("Calls go to the owner or are refused as not run") {
  const RoutingSettings settings;
  const View own = ViewWithOwner("a1", MemberState::kLive);
  CHECK(std::get<ServeHere>(Route(settings, own, kCell, 9)).epoch ==
        Epoch{3, 0});
  const View other = ViewWithOwner("a2", MemberState::kLive);
  CHECK(std::get<Forward>(Route(settings, other, kCell, 1)).instance ==
        InstanceId{"a2"});
  CHECK(ReasonOf(Route(settings, other, kCell, 2)) == Reason::kHopLimit);
  const View suspected = ViewWithOwner("a2", MemberState::kSuspected);
  CHECK(ReasonOf(Route(settings, suspected, kCell, 0)) ==
        Reason::kOwnerUnreachable);
  CHECK(ReasonOf(Route(settings, other, CellId{"x/1"}, 0)) == Reason::kNoOwner);
}

TEST_CASE("In a partial view calls for a remote cell go to its data centre") {
  const RoutingSettings settings;
  const CellId cell{"dc-b/0"};
  View view = ViewWithOwner("a1", MemberState::kLive);
  view.members[1].data_centre = DataCentreId{"dc-b"};
  CHECK(ReasonOf(Route(settings, view, cell, 0)) == Reason::kNoOwner);
  view.partial = true;
  CHECK(std::get<Forward>(Route(settings, view, cell, 0)).instance ==
        InstanceId{"a2"});
  CHECK(ReasonOf(Route(settings, view, cell, 1)) == Reason::kNoOwner);
  view.members[1].state =
      MemberState::kSuspected;  // Its heartbeats only go elsewhere.
  CHECK(std::holds_alternative<Forward>(Route(settings, view, cell, 0)));
  view.members[1].listed = configuration::MachineState::kGone;
  CHECK(ReasonOf(Route(settings, view, cell, 0)) == Reason::kNoOwner);
}

TEST_CASE("Calls are spread by weight and move only to an added cell") {
  const std::vector<WeightedCell> cells{
      {CellId{"a/0"}, 100}, {CellId{"b/0"}, 300}, {CellId{"c/0"}, 0}};
  std::vector<WeightedCell> more = cells;
  more.push_back({CellId{"d/0"}, 400});
  std::map<CellId, int> homes;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    const CallId id{SeededHash("high", i), SeededHash("low", i)};
    const CellId home = *HomeCell(id, cells);
    ++homes[home];
    const CellId after = *HomeCell(id, more);
    REQUIRE((after == home || after == CellId{"d/0"}));
  }
  CHECK(homes[CellId{"a/0"}] > 2'350);
  CHECK(homes[CellId{"a/0"}] < 2'650);
  CHECK(homes.count(CellId{"c/0"}) == 0);
  CHECK_FALSE(HomeCell(CallId{}, {}).has_value());
}

TEST_CASE("Old load reports move fewer calls to the other cell") {
  CellLoad home;
  home.load.expected_wait = 4s;
  CellLoad other;
  other.load.largest_free_shape = 8;
  CHECK(ChooseCell(home, other, 8, 0.999) == CellChoice::kOther);
  CHECK(ChooseCell(other, home, 8, 0.0) == CellChoice::kHome);
  CHECK(ChooseCell(home, other, 9, 0.0) == CellChoice::kOther);
  home.age = other.age = 4s;
  CHECK(ChooseCell(home, other, 8, 0.13) == CellChoice::kOther);
  CHECK(ChooseCell(home, other, 8, 0.14) == CellChoice::kHome);
}

}  // namespace
}  // namespace jasminespar::membership
