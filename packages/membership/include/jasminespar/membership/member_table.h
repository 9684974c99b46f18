/// @file
/// Joins heartbeats with the platform's lagging list into one view of the
/// instances.

#ifndef JASMINESPAR_MEMBERSHIP_MEMBER_TABLE_H_
#define JASMINESPAR_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/heartbeat.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

struct MemberSettings {
  Duration suspect_after = 2s;  ///< Silence that makes an instance suspected.
  /// Shorter silence that suffices when the list also says kGone.
  Duration gone_after = 1s;
  Duration forget_after = 10min;  ///< Silence after which it is removed.
  /// Up to this many members, heartbeats go to all of them.
  std::size_t full_mesh_members = 24;
  /// Receivers in each other data centre beyond that size.
  std::size_t remote_peers = 2;
};

/// An instance as the platform lists it.
struct ListedInstance {
  InstanceId id;
  DataCentreId data_centre;
  configuration::Address caller;
  configuration::Address peer;
  configuration::MachineState state = configuration::MachineState::kLive;
};

/// A receiver of heartbeats.
struct Peer {
  InstanceId id;
  configuration::Address address;
};

/// Not thread-safe: one duty owns it. The owner observes its own heartbeats
/// as well, so that its cells are in the view.
class MemberTable {
 public:
  /// @param self the instance itself: never suspected, never a peer.
  MemberTable(const MemberSettings& settings, ListedInstance self);

  /// Takes in a heartbeat.
  /// @return false when an equal or newer one of that instance was seen.
  bool HandleHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Takes in the platform's whole list. It brings unknown instances; its
  /// kLeaving, kGone or silence on one take that instance out of ownership
  /// at once. An instance whose heartbeats arrive later than the list turned
  /// against it stays alive, for the list lags.
  void ApplyList(const std::vector<ListedInstance>& list, TimePoint now);

  /// @return to whom heartbeats go now: all members of the own data centre
  ///     and, in a large fleet, a few of each other one.
  [[nodiscard]] std::vector<Peer> Peers(TimePoint now) const;

  [[nodiscard]] View ViewAt(TimePoint now) const;

  /// @return whether a newer incarnation of this very instance was heard, so
  ///     that this process has been replaced and must stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  struct Entry {
    ListedInstance listing;  ///< Addresses; the heartbeat's own win.
    std::optional<TimePoint> heard;
    TimePoint first_known;
    /// When the list first spoke against the instance, if it does.
    std::optional<TimePoint> denied;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ever_listed = false;
    bool leaving = false;
    std::vector<OwnedCell> cells;
  };

  /// Highest owner seen of one cell.
  struct KnownOwner {
    Epoch epoch;
    InstanceId owner;
  };

  [[nodiscard]] MemberState StateOf(const Entry& entry, TimePoint now) const;
  void ForgetSilent(TimePoint now);
  void NoteOwner(const OwnedCell& owned, const InstanceId& owner);
  [[nodiscard]] CellOwner OwnerOf(const CellId& cell,
                                  const KnownOwner& known) const;

  MemberSettings settings_;
  InstanceId self_;
  DataCentreId data_centre_;
  std::map<InstanceId, Entry> entries_;
  std::map<CellId, KnownOwner> owners_;
  Revision highest_revision_;
  bool superseded_ = false;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_MEMBER_TABLE_H_
