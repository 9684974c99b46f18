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
  if (added) entry.first_known = now;
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
  entry.heard = now;
  entry.leaving = heartbeat.leaving;
  entry.cells = heartbeat.cells;
  highest_revision_ = std::max(highest_revision_, heartbeat.revision);
  for (const OwnedCell& owned : entry.cells) {
    NoteOwner(owned, heartbeat.instance);
  }
  return true;
}

void MemberTable::NoteOwner(const OwnedCell& owned, const InstanceId& owner) {
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
    if (added) entry.first_known = now;
    entry.ever_listed = true;
    entry.listing.state = listed.state;
    if (!entry.heard && listed.id != self_) entry.listing = listed;
    const bool denies = listed.state != MachineState::kLive;
    if (!denies) entry.denied.reset();
    if (denies && !entry.denied) entry.denied = now;
  }
  for (auto& [id, entry] : entries_) {
    // A new instance heartbeats before the list knows it: only one that the
    // list has shown before can be missing from it.
    if (id == self_ || present.contains(id) || !entry.ever_listed) continue;
    if (!entry.denied) entry.denied = now;
    entry.listing.state = MachineState::kGone;
  }
  ForgetSilent(now);
}

void MemberTable::ForgetSilent(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [id, entry] = item;
    const TimePoint known = entry.heard.value_or(entry.first_known);
    const bool vouched_for = entry.ever_listed && !entry.denied;
    return id != self_ && !vouched_for && now - known > settings_.forget_after;
  });
}

MemberState MemberTable::StateOf(const Entry& entry, TimePoint now) const {
  const bool denied_gone =
      entry.denied && entry.listing.state == MachineState::kGone;
  const bool silent_since_denied =
      denied_gone && (!entry.heard || *entry.heard <= *entry.denied);
  const TimePoint known = entry.heard.value_or(entry.first_known);
  const Duration limit = silent_since_denied ? std::min(settings_.gone_after,
                                                        settings_.suspect_after)
                                             : settings_.suspect_after;
  if (now - known > limit) return MemberState::kSuspected;
  if (entry.leaving || silent_since_denied ||
      entry.listing.state == MachineState::kLeaving) {
    return MemberState::kLeaving;
  }
  return entry.heard ? MemberState::kLive : MemberState::kListed;
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
    // Ranking by the sender spreads the receivers over the data centre.
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
  result.heard = entry.heard.value_or(entry.first_known);
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
                  entry.heard.value_or(entry.first_known)};
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
