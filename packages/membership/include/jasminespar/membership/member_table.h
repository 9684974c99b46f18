/// @file
/// Merges heartbeats and the platform's list of instances, which lags, into one
/// view.

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
  /// An instance without a heartbeat for longer is suspected.
  Duration suspect_after = 2s;
  /// Replaces a longer `suspect_after` when no heartbeat has arrived since the
  /// list changed to kGone.
  Duration gone_after = 1s;
  /// An instance without a heartbeat for longer is removed, unless the list
  /// calls it live.
  Duration remove_after = 10min;
  /// In a fleet of up to this many members, heartbeats go to all of them.
  std::size_t full_mesh_members = 24;
  /// In a larger fleet: receivers in each other data centre.
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

/// The known instances and cell owners. Not thread-safe: one duty owns it. The
/// instance passes its own heartbeats in as well, so that the view contains its
/// cells.
class MemberTable {
 public:
  /// @param self this instance; never suspected and never a peer.
  MemberTable(const MemberSettings& settings, ListedInstance self);

  /// @return false when the heartbeat is ignored because one of that instance
  ///     with the same or a higher incarnation and sequence arrived before.
  bool HandleHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Applies the platform's list of all instances. It adds unknown instances.
  /// An instance that it calls kLeaving or kGone, or no longer contains, may
  /// own no cells from now on. As the list lags, an instance that is gone or
  /// missing is live again as soon as a heartbeat arrives after the list first
  /// said so.
  void ApplyList(const std::vector<ListedInstance>& list, TimePoint now);

  /// @return the receivers of heartbeats: all other members of a small fleet;
  ///     in a large one those of the own data centre and
  ///     `MemberSettings::remote_peers` of each other data centre.
  [[nodiscard]] std::vector<Peer> Peers(TimePoint now) const;

  [[nodiscard]] View ViewAt(TimePoint now) const;

  /// @return whether a heartbeat of a newer incarnation of this instance has
  ///     arrived: this process has been replaced and must stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  struct Entry {
    ListedInstance listing;  ///< Addresses in a heartbeat take precedence.
    std::optional<TimePoint> last_heartbeat;
    TimePoint first_seen;
    /// Since when the list does not call the instance live; empty if it does.
    std::optional<TimePoint> not_live_since;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ever_listed = false;
    bool leaving = false;
    std::vector<OwnedCell> cells;
  };

  /// Owner of one cell with the highest epoch seen.
  struct KnownOwner {
    Epoch epoch;
    InstanceId owner;
  };

  [[nodiscard]] MemberState StateOf(const Entry& entry, TimePoint now) const;
  void RemoveSilentEntries(TimePoint now);
  void RecordOwner(const OwnedCell& owned, const InstanceId& owner);
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
