#include "jasminespar/membership/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "jasminespar/membership/rendezvous.h"

namespace jasminespar::membership {

using configuration::MachineState;

MemberTable::MemberTable(const MemberSettings& settings, ListedInstance self)
    : settings_(settings), self_(self.id), data_centre_(self.data_centre) {
  entries_[self_].listing = std::move(self);
}

bool MemberTable::HandleHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  const auto [position, added] = entries_.try_emplace(heartbeat.instance);
  Entry& entry = position->second;
  if (added) entry.first_seen = now;
  if (std::pair(heartbeat.incarnation, heartbeat.sequence) <=
      std::pair(entry.incarnation, entry.sequence)) {
    return false;
  }
  if (heartbeat.instance == self_ && entry.incarnation != 0 &&
      heartbeat.incarnation > entry.incarnation) {
    superseded_ = true;
  }
  entry.listing.id = heartbeat.instance;
  entry.listing.data_centre = heartbeat.data_centre;
  entry.listing.caller = heartbeat.caller;
  entry.listing.peer = heartbeat.peer;
  entry.incarnation = heartbeat.incarnation;
  entry.sequence = heartbeat.sequence;
  entry.last_heartbeat = now;
  entry.leaving = heartbeat.leaving;
  entry.cells = heartbeat.cells;
  highest_revision_ = std::max(highest_revision_, heartbeat.revision);
  for (const OwnedCell& owned : entry.cells) {
    RecordOwner(owned, heartbeat.instance);
  }
  return true;
}

void MemberTable::RecordOwner(const OwnedCell& owned, const InstanceId& owner) {
  KnownOwner& known = owners_[owned.cell];
  if (owned.epoch < known.epoch) return;
  known = KnownOwner{owned.epoch, owner};
}

void MemberTable::ApplyList(const std::vector<ListedInstance>& list,
                            TimePoint now) {
  std::set<InstanceId> present;
  for (const ListedInstance& listed : list) {
    present.insert(listed.id);
    const auto [position, added] = entries_.try_emplace(listed.id);
    Entry& entry = position->second;
    if (added) entry.first_seen = now;
    entry.ever_listed = true;
    entry.listing.state = listed.state;
    if (!entry.last_heartbeat && listed.id != self_) entry.listing = listed;
    const bool listed_not_live = listed.state != MachineState::kLive;
    if (!listed_not_live) entry.not_live_since.reset();
    if (listed_not_live && !entry.not_live_since) entry.not_live_since = now;
  }
  for (auto& [id, entry] : entries_) {
    // A new instance sends heartbeats before the list contains it: only one
    // that was listed before counts as missing.
    if (id == self_ || present.contains(id) || !entry.ever_listed) continue;
    if (!entry.not_live_since) entry.not_live_since = now;
    entry.listing.state = MachineState::kGone;
  }
  RemoveSilentEntries(now);
}

void MemberTable::RemoveSilentEntries(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [id, entry] = item;
    const TimePoint last_seen = entry.last_heartbeat.value_or(entry.first_seen);
    const bool listed_live = entry.ever_listed && !entry.not_live_since;
    return id != self_ && !listed_live &&
           now - last_seen > settings_.remove_after;
  });
}

MemberState MemberTable::StateOf(const Entry& entry, TimePoint now) const {
  const bool listed_gone =
      entry.not_live_since && entry.listing.state == MachineState::kGone;
  const bool silent_since_gone =
      listed_gone &&
      (!entry.last_heartbeat || *entry.last_heartbeat <= *entry.not_live_since);
  const TimePoint last_seen = entry.last_heartbeat.value_or(entry.first_seen);
  const Duration limit = silent_since_gone ? std::min(settings_.gone_after,
                                                      settings_.suspect_after)
                                           : settings_.suspect_after;
  if (now - last_seen > limit) return MemberState::kSuspected;
  if (entry.leaving || silent_since_gone ||
      entry.listing.state == MachineState::kLeaving) {
    return MemberState::kLeaving;
  }
  return entry.last_heartbeat ? MemberState::kLive : MemberState::kListed;
}

std::vector<Peer> MemberTable::Peers(TimePoint now) const {
  std::vector<Peer> peers;
  std::map<DataCentreId, std::vector<InstanceId>> remote;
  const bool full_mesh = entries_.size() <= settings_.full_mesh_members;
  for (const auto& [id, entry] : entries_) {
    if (id == self_) continue;
    const bool local = entry.listing.data_centre == data_centre_;
    if (full_mesh || local) {
      peers.push_back(Peer{id, entry.listing.peer});
    } else if (StateOf(entry, now) != MemberState::kSuspected) {
      remote[entry.listing.data_centre].push_back(id);
    }
  }
  for (auto& [data_centre, ids] : remote) {
    // Ranked by the sender's id, so that senders choose different receivers.
    const std::vector<InstanceId> ranked =
        RankCandidates(CellId{self_.value}, std::move(ids));
    const std::size_t count = std::min(ranked.size(), settings_.remote_peers);
    for (std::size_t i = 0; i < count; ++i) {
      peers.push_back(Peer{ranked[i], entries_.at(ranked[i]).listing.peer});
    }
  }
  return peers;
}

CellOwner MemberTable::OwnerOf(const CellId& cell,
                               const KnownOwner& known) const {
  CellOwner result;
  result.cell = cell;
  result.epoch = known.epoch;
  const auto position = entries_.find(known.owner);
  if (position == entries_.end()) return result;
  const Entry& entry = position->second;
  const auto owned = std::find_if(
      entry.cells.begin(), entry.cells.end(), [&](const OwnedCell& candidate) {
        return candidate.cell == cell && candidate.epoch == known.epoch;
      });
  if (owned == entry.cells.end()) return result;
  result.owner = known.owner;
  result.recovering = owned->recovering;
  result.load = owned->load;
  result.load_received = entry.last_heartbeat.value_or(entry.first_seen);
  return result;
}

View MemberTable::ViewAt(TimePoint now) const {
  View view;
  view.self = self_;
  view.partial = entries_.size() > settings_.full_mesh_members;
  view.data_centre = data_centre_;
  view.highest_revision = highest_revision_;
  view.members.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    Member member{id,
                  entry.listing.data_centre,
                  entry.listing.caller,
                  entry.listing.peer,
                  StateOf(entry, now),
                  entry.listing.state,
                  entry.leaving,
                  entry.incarnation,
                  entry.last_heartbeat.value_or(entry.first_seen)};
    if (id == self_) {
      const bool leaving =
          entry.leaving || member.listed == MachineState::kLeaving;
      member.state = leaving ? MemberState::kLeaving : MemberState::kLive;
      member.last_seen = now;
    }
    view.members.push_back(std::move(member));
  }
  view.cells.reserve(owners_.size());
  for (const auto& [cell, known] : owners_) {
    view.cells.push_back(OwnerOf(cell, known));
  }
  return view;
}

}  // namespace jasminespar::membership
