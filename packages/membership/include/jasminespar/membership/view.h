/// @file
/// Immutable snapshot of what an instance knows about the instances and cells
/// of the site.

#ifndef JASMINESPAR_MEMBERSHIP_VIEW_H_
#define JASMINESPAR_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::membership {

enum class MemberState : std::uint8_t { kListed, kLive, kSuspected, kLeaving };

inline constexpr NameTable<MemberState, 4> kMemberStateNames{{
    {MemberState::kListed, "listed", "Listed; no heartbeat received yet."},
    {MemberState::kLive, "live", "Heartbeats arrive."},
    {MemberState::kSuspected, "suspected", "Silent for too long."},
    {MemberState::kLeaving, "leaving", "Alive, but must get nothing new."},
}};
static_assert(IsDense(kMemberStateNames));

struct Member {
  InstanceId id;
  DataCentreId data_centre;
  configuration::Address caller;
  configuration::Address peer;
  MemberState state = MemberState::kListed;
  /// State in the platform's last list; kGone when it is no longer listed.
  configuration::MachineState listed = configuration::MachineState::kLive;
  bool announced_leaving = false;  ///< By its own heartbeat.
  std::uint64_t incarnation = 0;
  /// Arrival of the newest heartbeat; without one, when it was first listed.
  TimePoint last_seen;
};

/// The owner of a cell as far as known.
struct CellOwner {
  CellId cell;
  /// Empty when the heartbeats of the last known owner no longer name the cell.
  InstanceId owner;
  Epoch epoch;  ///< Highest seen for the cell; never decreases.
  bool recovering = false;
  scheduling::LoadSummary load;
  TimePoint load_received;  ///< Arrival of the heartbeat with `load`.
};

/// @return the time since `owner.load` was received; not negative.
[[nodiscard]] Duration LoadAge(const CellOwner& owner, TimePoint now);

struct View {
  InstanceId self;
  /// The fleet is so large that instances of other data centres may be alive
  /// although their heartbeats, with their cells, do not arrive here.
  bool partial = false;
  DataCentreId data_centre;      ///< Of `self`.
  std::vector<Member> members;   ///< Ordered by id; includes `self`.
  std::vector<CellOwner> cells;  ///< Ordered by cell.
  Revision highest_revision;     ///< Highest seen in any heartbeat.

  /// @return the member with that id, or null; valid as long as the view.
  [[nodiscard]] const Member* FindMember(const InstanceId& id) const;

  /// @return the entry of that cell, or null; valid as long as the view.
  [[nodiscard]] const CellOwner* FindCell(const CellId& cell) const;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_VIEW_H_
