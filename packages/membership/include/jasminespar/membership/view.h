/// @file
/// Immutable snapshot of what an instance knows of the others.

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
    {MemberState::kListed, "listed", "Listed; no heartbeat heard yet."},
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
  /// Last word of the platform's list; kGone when the list has dropped it.
  configuration::MachineState listed = configuration::MachineState::kLive;
  bool announced_leaving = false;  ///< Its own heartbeat says that it leaves.
  std::uint64_t incarnation = 0;
  TimePoint last_seen;  ///< Arrival of the newest heartbeat, or of the listing.
};

/// What is known of the owner of one cell.
struct CellOwner {
  CellId cell;
  /// Empty when the newest owner known no longer claims to own the cell.
  InstanceId owner;
  Epoch epoch;  ///< Highest seen for the cell; never falls.
  bool recovering = false;
  scheduling::LoadSummary load;
  TimePoint heard;  ///< Arrival of the heartbeat that told of `load`.
};

/// @return how old the knowledge of the load is; not negative.
[[nodiscard]] Duration LoadAge(const CellOwner& owner, TimePoint now);

struct View {
  InstanceId self;
  /// The fleet is large, so that instances of other data centres, their cells
  /// included, may be alive without being heard here.
  bool partial = false;
  DataCentreId data_centre;      ///< Of `self`.
  std::vector<Member> members;   ///< Ordered by id; holds `self`.
  std::vector<CellOwner> cells;  ///< Ordered by cell.
  Revision highest_revision;     ///< Highest seen in any heartbeat.

  /// @return the member with that id, or null; valid as long as the view.
  [[nodiscard]] const Member* FindMember(const InstanceId& id) const;

  /// @return the knowledge of that cell, or null; valid as long as the view.
  [[nodiscard]] const CellOwner* FindCell(const CellId& cell) const;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_VIEW_H_
