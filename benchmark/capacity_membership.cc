#include <string>
#include <vector>

#include "capacity_series.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/membership/member_table.h"
#include "jasminespar/membership/ownership.h"
#include "jasminespar/membership/routing.h"
#include "jasminespar/protocol/peer_message.h"

namespace jasminespar::benchmark {
namespace {

using namespace membership;  // NOLINT(google-build-using-namespace)

const TimePoint kNow{1000s};
constexpr int kDataCentres = 14;

std::string DataCentreName(int index) {
  return "region-dc-" + std::to_string(index % kDataCentres);
}

InstanceId MakeInstanceId(int index) {
  return InstanceId{"instance-" + std::to_string(index)};
}

CellId MakeCellId(int index) {
  return CellId{DataCentreName(index) + "/" +
                std::to_string(index / kDataCentres)};
}

ListedInstance MakeListedInstance(int index) {
  return ListedInstance{MakeInstanceId(index),
                        DataCentreId{DataCentreName(index)},
                        {"127.0.0.1", 8000},
                        {"127.0.0.1", 9000},
                        configuration::MachineState::kLive};
}

Heartbeat MakeHeartbeat(int instance, std::uint64_t sequence) {
  const ListedInstance listed = MakeListedInstance(instance);
  Heartbeat heartbeat;
  heartbeat.instance = listed.id;
  heartbeat.incarnation = 1'700'000'000'000;
  heartbeat.sequence = sequence;
  heartbeat.data_centre = listed.data_centre;
  heartbeat.caller = listed.caller;
  heartbeat.peer = listed.peer;
  heartbeat.revision = Revision{98'000};
  return heartbeat;
}

OwnedCell MakeOwnedCell(int index) {
  OwnedCell owned;
  owned.cell = MakeCellId(index);
  owned.epoch = Epoch{1000, 0};
  owned.load = {100, 512, 1000, 400, 8, 1500ms};
  return owned;
}

/// @return a table with one heartbeat of each member. The cells are assigned to
///     the members round robin.
MemberTable MakeTable(int members, int cells) {
  MemberTable table({}, MakeListedInstance(0));
  for (int i = 0; i < members; ++i) {
    Heartbeat heartbeat = MakeHeartbeat(i, 1);
    for (int cell = i; cell < cells; cell += members) {
      heartbeat.cells.push_back(MakeOwnedCell(cell));
    }
    table.HandleHeartbeat(heartbeat, kNow);
  }
  return table;
}

void MeasureHeartbeats() {
  for (const int cells : {0, 1, 2, 4, 8, 16, 32}) {
    Heartbeat heartbeat = MakeHeartbeat(0, 1);
    for (int i = 0; i < cells; ++i) heartbeat.cells.push_back(MakeOwnedCell(i));
    const std::string bytes = protocol::Encode(heartbeat);
    Print({"heartbeat_bytes", "owned cells", "bytes"}, cells,
          static_cast<double>(bytes.size()));
    Print({"heartbeat_encode", "owned cells", "us"}, cells,
          MicrosecondsOf(2000,
                         [&] { DoNotOptimize(protocol::Encode(heartbeat)); }));
    Print({"heartbeat_decode", "owned cells", "us"}, cells,
          MicrosecondsOf(
              2000, [&] { DoNotOptimize(protocol::DecodeHeartbeat(bytes)); }));
  }
}

void MeasureTable() {
  for (const int members : {6, 25, 50, 100, 200, 400}) {
    const double before = HeapBytes();
    MemberTable table = MakeTable(members, members / 4);
    Print({"member_table_bytes", "members", "bytes"}, members,
          HeapBytes() - before);
    std::uint64_t sequence = 1;
    std::vector<Heartbeat> heartbeats;
    for (int i = 0; i < members; ++i) heartbeats.push_back(MakeHeartbeat(i, 1));
    int next = 0;
    Print({"observe", "members", "us"}, members, MicrosecondsOf(2000, [&] {
            next = (next + 1) % members;
            heartbeats[next].sequence = ++sequence;
            table.HandleHeartbeat(heartbeats[next], kNow);
          }));
    Print({"view", "members", "us"}, members,
          MicrosecondsOf(200, [&] { DoNotOptimize(table.ViewAt(kNow)); }));
    Print({"peers", "members", "us"}, members,
          MicrosecondsOf(200, [&] { DoNotOptimize(table.Peers(kNow)); }));
  }
}

void MeasurePlanning() {
  constexpr int kMembers = 200;
  for (const int cells : {6, 15, 30, 60, 120, 240}) {
    const View view = MakeTable(kMembers, cells).ViewAt(kNow);
    std::vector<CellId> ids;
    for (int i = 0; i < cells; ++i) ids.push_back(MakeCellId(i));
    OwnershipPlanner planner({}, MakeInstanceId(0), {}, 1);
    // The first plan only reads the ownership rows. They are supplied here, so
    // that the measured plans are those of a steady state.
    for (const OwnershipAction& action : planner.Plan(view, ids, kNow)) {
      const auto& read = std::get<ReadRow>(action);
      const CellOwner* owner = view.FindCell(read.cell);
      const OwnershipRow row{read.cell, owner->owner, {}, owner->epoch, 1};
      DoNotOptimize(
          planner.HandleRowRead(read.cell, VersionedRow{row, 1}, kNow));
    }
    Print({"plan", "cells", "us"}, cells, MicrosecondsOf(200, [&] {
            DoNotOptimize(planner.Plan(view, ids, kNow));
          }));
  }
}

void MeasureRouting() {
  for (const int cells : {6, 15, 30, 60, 120}) {
    std::vector<WeightedCell> allowed;
    for (int i = 0; i < cells; ++i) allowed.push_back({MakeCellId(i), 512});
    std::uint64_t number = 0;
    Print({"home_cell", "cells", "us"}, cells, MicrosecondsOf(2000, [&] {
            ++number;
            DoNotOptimize(
                HomeCell(CallId{number, SeededHash("call", number)}, allowed));
          }));
  }
}

}  // namespace

void MeasureMembership() {
  MeasureHeartbeats();
  MeasureTable();
  MeasurePlanning();
  MeasureRouting();
}

}  // namespace jasminespar::benchmark
