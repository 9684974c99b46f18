#include "jasminespar/membership/member_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace jasminespar::membership {
namespace {

using configuration::MachineState;

const TimePoint kStart{1000s};

ListedInstance Listed(const std::string& id,
                      MachineState state = MachineState::kLive,
                      const std::string& data_centre = "dc-a") {
  return ListedInstance{InstanceId{id},
                        DataCentreId{data_centre},
                        {"127.0.0.1", 1},
                        {"127.0.0.1", 2},
                        state};
}

Heartbeat MakeHeartbeat(const std::string& id, std::uint64_t incarnation,
                        std::uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.instance = InstanceId{id};
  heartbeat.incarnation = incarnation;
  heartbeat.sequence = sequence;
  heartbeat.data_centre = DataCentreId{"dc-a"};
  return heartbeat;
}

MemberState StateIn(const MemberTable& table, const std::string& id,
                    TimePoint now) {
  const View view = table.ViewAt(now);
  const Member* member = view.FindMember(InstanceId{id});
  REQUIRE(member != nullptr);
  return member->state;
}

TEST_CASE("Heartbeats of old incarnations and sequences are ignored") {
  MemberTable table({}, Listed("a1"));
  CHECK(table.HandleHeartbeat(MakeHeartbeat("a2", 5, 7), kStart));
  CHECK_FALSE(table.HandleHeartbeat(MakeHeartbeat("a2", 5, 7), kStart));
  CHECK_FALSE(table.HandleHeartbeat(MakeHeartbeat("a2", 5, 6), kStart));
  CHECK_FALSE(table.HandleHeartbeat(MakeHeartbeat("a2", 4, 900), kStart));
  CHECK(table.HandleHeartbeat(MakeHeartbeat("a2", 6, 1), kStart));
}

TEST_CASE(
    "An instance without heartbeats is suspected; the next makes it live") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 1), kStart);
  CHECK(StateIn(table, "a2", kStart + 2s) == MemberState::kLive);
  CHECK(StateIn(table, "a2", kStart + 2001ms) == MemberState::kSuspected);
  CHECK(StateIn(table, "a1", kStart + 1h) == MemberState::kLive);
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 2), kStart + 3s);
  CHECK(StateIn(table, "a2", kStart + 3s) == MemberState::kLive);
}

TEST_CASE("An outdated list does not remove a live instance for long") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 1), kStart);
  table.ApplyList({Listed("a1"), Listed("a2", MachineState::kGone)},
                  kStart + 100ms);
  CHECK(StateIn(table, "a2", kStart + 200ms) == MemberState::kLeaving);
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 2), kStart + 500ms);
  table.ApplyList({Listed("a1"), Listed("a2", MachineState::kGone)},
                  kStart + 600ms);
  CHECK(StateIn(table, "a2", kStart + 700ms) == MemberState::kLive);
}

TEST_CASE("An instance that the list calls gone is suspected earlier") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 1), kStart);
  table.ApplyList({Listed("a1"), Listed("a2", MachineState::kGone)},
                  kStart + 100ms);
  CHECK(StateIn(table, "a2", kStart + 1001ms) == MemberState::kSuspected);
}

TEST_CASE("An instance is leaving if its heartbeat or the list says so") {
  MemberTable table({}, Listed("a1"));
  Heartbeat heartbeat = MakeHeartbeat("a2", 1, 1);
  heartbeat.leaving = true;
  table.HandleHeartbeat(heartbeat, kStart);
  table.HandleHeartbeat(MakeHeartbeat("a3", 1, 1), kStart);
  table.ApplyList({Listed("a1", MachineState::kLeaving), Listed("a2"),
                   Listed("a3", MachineState::kLeaving)},
                  kStart);
  table.HandleHeartbeat(MakeHeartbeat("a3", 1, 2), kStart + 10ms);
  CHECK(StateIn(table, "a1", kStart) == MemberState::kLeaving);
  CHECK(StateIn(table, "a2", kStart) == MemberState::kLeaving);
  CHECK(StateIn(table, "a3", kStart + 20ms) == MemberState::kLeaving);
}

TEST_CASE("An instance that is not yet listed is live") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 1), kStart);
  table.ApplyList({Listed("a1")}, kStart + 1ms);
  CHECK(StateIn(table, "a2", kStart + 2ms) == MemberState::kLive);
}

TEST_CASE("A listed instance that never sends a heartbeat is suspected") {
  MemberTable table({}, Listed("a1"));
  table.ApplyList({Listed("a1"), Listed("a2")}, kStart);
  CHECK(StateIn(table, "a2", kStart + 1s) == MemberState::kListed);
  CHECK(StateIn(table, "a2", kStart + 3s) == MemberState::kSuspected);
}

TEST_CASE("Silent instances are removed unless the list calls them live") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a2", 1, 1), kStart);
  table.HandleHeartbeat(MakeHeartbeat("a3", 1, 1), kStart);
  const std::vector<ListedInstance> list{Listed("a1"), Listed("a3")};
  table.ApplyList(list, kStart + 1h);
  const View view = table.ViewAt(kStart + 1h);
  CHECK(view.FindMember(InstanceId{"a2"}) == nullptr);
  CHECK(view.FindMember(InstanceId{"a3"}) != nullptr);
}

TEST_CASE("The highest epoch determines the owner and never decreases") {
  MemberTable table({}, Listed("a1"));
  const CellId cell{"dc-a/0"};
  Heartbeat old_owner = MakeHeartbeat("a2", 1, 1);
  old_owner.cells.push_back(OwnedCell{cell, Epoch{3, 0}, false, {}});
  Heartbeat new_owner = MakeHeartbeat("a3", 1, 1);
  new_owner.cells.push_back(OwnedCell{cell, Epoch{4, 0}, true, {}});
  table.HandleHeartbeat(new_owner, kStart);
  table.HandleHeartbeat(old_owner, kStart + 1s);
  CHECK(table.ViewAt(kStart + 1s).FindCell(cell)->owner == InstanceId{"a3"});
  CHECK(LoadAge(*table.ViewAt(kStart).FindCell(cell), kStart + 1s) == 1s);
  table.HandleHeartbeat(MakeHeartbeat("a3", 1, 2), kStart + 2s);
  const View view = table.ViewAt(kStart + 2s);
  CHECK(view.FindCell(cell)->owner == InstanceId{});
  CHECK(view.FindCell(cell)->epoch == Epoch{4, 0});
}

TEST_CASE("A newer incarnation of this instance supersedes it") {
  MemberTable table({}, Listed("a1"));
  table.HandleHeartbeat(MakeHeartbeat("a1", 1, 1), kStart);
  CHECK_FALSE(table.superseded());
  table.HandleHeartbeat(MakeHeartbeat("a1", 2, 1), kStart);
  CHECK(table.superseded());
}

TEST_CASE("Heartbeats go to all of a small fleet and to some of a large one") {
  MemberTable table({}, Listed("a0"));
  std::vector<ListedInstance> list{Listed("a0")};
  for (int i = 1; i < 6; ++i) {
    list.push_back(Listed("a" + std::to_string(i), MachineState::kLive,
                          "dc-" + std::to_string(i % 3)));
  }
  table.ApplyList(list, kStart);
  CHECK(table.Peers(kStart).size() == 5);
  list.clear();
  for (int i = 0; i < 210; ++i) {
    const int data_centre = i % 14;
    list.push_back(Listed(
        "a" + std::to_string(i), MachineState::kLive,
        data_centre == 0 ? "dc-a" : "dc-" + std::to_string(data_centre)));
  }
  table.ApplyList(list, kStart);
  CHECK(table.Peers(kStart).size() == 14 + 13 * 2);
}

}  // namespace
}  // namespace jasminespar::membership
