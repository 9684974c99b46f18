#include "jasminespar/membership/ownership.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "jasminespar/core/digest.h"

namespace jasminespar::membership {

OwnershipPlanner::OwnershipPlanner(const OwnershipSettings& settings,
                                   InstanceId self, configuration::Address peer,
                                   std::uint64_t incarnation)
    : settings_(settings),
      self_(std::move(self)),
      peer_(std::move(peer)),
      incarnation_(incarnation) {}

std::vector<OwnershipAction> OwnershipPlanner::Plan(
    const View& view, const std::vector<CellId>& cells, TimePoint now) {
  Actions actions;
  const Candidates candidates(view);
  const Member* self = view.FindMember(self_);
  told_to_leave_ = self != nullptr && self->state == MemberState::kLeaving;
  // Held cells come from the planner's own record: the list may omit one.
  std::set<CellId> held;
  for (const auto& [cell, epoch] : held_) held.insert(cell);
  for (const CellId& cell : held) {
    PlanHeld(view, candidates, cell, now, actions);
  }
  for (const CellId& cell : cells) {
    if (held.contains(cell)) continue;
    PlanOther(view, candidates, cell, now, actions);
  }
  return actions;
}

TimePoint OwnershipPlanner::NextPlan(TimePoint now) const {
  return now + settings_.plan_interval;
}

void OwnershipPlanner::PlanHeld(const View& view, const Candidates& candidates,
                                const CellId& cell, TimePoint now,
                                Actions& actions) {
  HeldCell& held = held_.at(cell);
  CellRecord& record = records_[cell];
  const CellOwner* known = view.FindCell(cell);
  if (known != nullptr && known->epoch > held.epoch) {
    Lose(cell, actions);
    return;
  }
  if (record.pending != Pending::kNone) return;
  if (record.handover_finished) {
    if (!StoreUsable(now)) return;
    if (record.read_back) {
      ReadOrReadBack(cell, record, actions);
    } else {
      Release(cell, record, actions);
    }
    return;
  }
  if (!held.yielding && ShouldYield(candidates, cell, record, now)) {
    held.yielding = true;
    actions.emplace_back(StartHandover{cell});
  }
}

bool OwnershipPlanner::ShouldYield(const Candidates& candidates,
                                   const CellId& cell, CellRecord& record,
                                   TimePoint now) const {
  if (leaving_) return true;
  const InstanceId best = candidates.BestOf(cell).value_or(self_);
  if (best != record.better) {
    record.better = best;
    record.better_since = now;
  }
  if (best == self_ || !StoreUsable(now)) return false;
  if (told_to_leave_) return true;
  return now - record.better_since >= settings_.rebalance_after &&
         Handovers() < settings_.max_handovers;
}

void OwnershipPlanner::PlanOther(const View& view, const Candidates& candidates,
                                 const CellId& cell, TimePoint now,
                                 Actions& actions) {
  if (leaving_ || !StoreUsable(now)) return;
  CellRecord& record = records_[cell];
  const std::optional<std::size_t> rank = candidates.RankOf(cell, self_);
  if (!rank) {
    record.vacancy = Vacancy::kNone;
    return;
  }
  if (record.pending != Pending::kNone) return;
  if (!record.row || record.read_back) {
    ReadOrReadBack(cell, record, actions);
    return;
  }
  const Vacancy vacancy = VacancyOf(view, record.row->row);
  if (vacancy != record.vacancy) {
    record.vacancy = vacancy;
    record.vacancy_since = now;
  }
  if (vacancy == Vacancy::kNone && !provisional_.contains(cell)) return;
  const bool due =
      now - record.vacancy_since >= ClaimDelay(view, cell, record, *rank);
  const Duration row_age = now - record.row_read;
  // A living owner that no longer names the cell may have released it.
  const bool watch =
      (vacancy == Vacancy::kSilentOwner || vacancy == Vacancy::kOutdatedRow) &&
      row_age > settings_.row_fresh * (1 + *rank);
  if (watch || (due && row_age > settings_.row_fresh)) {
    ReadOrReadBack(cell, record, actions);
  } else if (due && vacancy != Vacancy::kOutdatedRow) {
    Claim(cell, record, actions);
  }
}

Duration OwnershipPlanner::ClaimDelay(const View& view, const CellId& cell,
                                      const CellRecord& record,
                                      std::size_t rank) const {
  if (provisional_.contains(cell)) return Duration::zero();
  const bool remote = configuration::DataCentreOf(cell) != view.data_centre;
  const Duration delay =
      settings_.claim_stagger * static_cast<Duration::rep>(rank) +
      (remote ? settings_.remote_after : Duration::zero());
  switch (record.vacancy) {
    case Vacancy::kOwnRow:
      return Duration::zero();
    case Vacancy::kUnknownOwner:
      return delay + settings_.unknown_owner_after;
    case Vacancy::kSilentOwner:
      return delay + settings_.silent_owner_after;
    case Vacancy::kReleased: {
      const bool released_here =
          record.row->version != 0 &&
          record.row->row.claim_id == record.written.claim_id;
      return released_here ? std::max(delay, settings_.reclaim_after) : delay;
    }
    case Vacancy::kNone:
    case Vacancy::kOutdatedRow:
    case Vacancy::kSuspectedOwner:
      break;
  }
  return delay;
}

void OwnershipPlanner::ReadOrReadBack(const CellId& cell, CellRecord& record,
                                      Actions& actions) const {
  if (record.read_back &&
      settings_.mutation == OwnershipMutation::kBlindRetry &&
      record.written.owner == self_) {
    record.pending = Pending::kClaim;
    actions.emplace_back(ClaimCell{cell, record.written_over, record.written});
    return;
  }
  record.pending = Pending::kRead;
  actions.emplace_back(ReadRow{cell});
}

void OwnershipPlanner::Claim(const CellId& cell, CellRecord& record,
                             Actions& actions) {
  const bool reuse = settings_.mutation == OwnershipMutation::kReuseEpoch;
  const std::uint64_t durable = record.row->row.epoch.durable;
  record.written =
      OwnershipRow{cell, self_, peer_, Epoch{reuse ? durable : durable + 1, 0},
                   NextClaimId()};
  record.written_over = record.row->version;
  record.pending = Pending::kClaim;
  actions.emplace_back(ClaimCell{cell, record.written_over, record.written});
}

void OwnershipPlanner::Release(const CellId& cell, CellRecord& record,
                               Actions& actions) {
  const HeldCell& held = held_.at(cell);
  record.written =
      OwnershipRow{cell, InstanceId{}, {}, held.epoch, NextClaimId()};
  record.written_over = held.version;
  record.pending = Pending::kRelease;
  actions.emplace_back(ReleaseCell{cell, record.written_over, record.written});
}

std::vector<OwnershipAction> OwnershipPlanner::HandleRowRead(
    const CellId& cell, const VersionedRow& read, TimePoint now) {
  Actions actions;
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  NoteStoreAnswers();
  if (std::exchange(record.read_back, false) && read.version != 0 &&
      read.row.claim_id == record.written.claim_id) {
    AcceptWrite(cell, record, read.version, now);
  } else {
    AcceptRow(cell, read, now, actions);
  }
  return actions;
}

void OwnershipPlanner::HandleWriteCommitted(const CellId& cell,
                                            std::uint64_t version,
                                            TimePoint now) {
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  record.read_back = false;
  NoteStoreAnswers();
  AcceptWrite(cell, record, version, now);
}

void OwnershipPlanner::AcceptWrite(const CellId& cell, CellRecord& record,
                                   std::uint64_t version, TimePoint now) {
  record.row = VersionedRow{record.written, version};
  record.row_read = now;
  record.vacancy = Vacancy::kNone;
  record.handover_finished = false;
  provisional_.erase(cell);
  if (record.written.owner != self_) {
    held_.erase(cell);
    return;
  }
  record.better = InstanceId{};
  held_[cell] = HeldCell{record.written.epoch, version, false};
}

std::vector<OwnershipAction> OwnershipPlanner::HandleWriteConflict(
    const CellId& cell, const VersionedRow& present, TimePoint now) {
  Actions actions;
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  NoteStoreAnswers();
  const bool resent = std::exchange(record.read_back, false);
  if (resent && settings_.mutation == OwnershipMutation::kBlindRetry) {
    AcceptWrite(cell, record, present.version, now);
  } else {
    AcceptRow(cell, present, now, actions);
  }
  return actions;
}

void OwnershipPlanner::AcceptRow(const CellId& cell, const VersionedRow& row,
                                 TimePoint now, Actions& actions) {
  CellRecord& record = records_[cell];
  if (record.row && record.row->version != row.version) {
    record.vacancy = Vacancy::kNone;
  }
  record.row = row;
  record.row_read = now;
  const auto held = held_.find(cell);
  if (held != held_.end() && row.version != held->second.version) {
    Lose(cell, actions);
    record.row = row;
  }
  record.row->row.cell = cell;
}

void OwnershipPlanner::Lose(const CellId& cell, Actions& actions) {
  const auto held = held_.find(cell);
  actions.emplace_back(DropCell{cell, held->second.epoch});
  held_.erase(held);
  CellRecord& record = records_[cell];
  record.handover_finished = false;
  record.row.reset();
}

void OwnershipPlanner::HandleWriteUnknown(const CellId& cell,
                                          TimePoint /*now*/) {
  CellRecord& record = records_[cell];
  assert(record.pending == Pending::kClaim ||
         record.pending == Pending::kRelease);
  record.pending = Pending::kNone;
  record.read_back = true;
}

void OwnershipPlanner::HandleStoreFailure(const CellId& cell, TimePoint now) {
  records_[cell].pending = Pending::kNone;
  if (!store_down_since_) store_down_since_ = now;
  constexpr std::uint32_t kMostDoublings = 16;
  const Duration backoff =
      std::min(settings_.store_backoff_limit,
               settings_.store_backoff *
                   (1 << std::min(store_failures_, kMostDoublings)));
  ++store_failures_;
  // Between half and all of the backoff, so that instances spread out.
  const std::uint64_t hash =
      SeededHash(self_.value, incarnation_ + store_failures_);
  const auto half = backoff.count() / 2;
  const auto jitter =
      static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(half + 1));
  store_retry_ = now + Duration(half + jitter);
}

std::vector<OwnershipAction> OwnershipPlanner::HandleEpochRefused(
    const CellId& cell, TimePoint /*now*/) {
  Actions actions;
  if (held_.contains(cell)) Lose(cell, actions);
  return actions;
}

void OwnershipPlanner::HandleHandoverFinished(const CellId& cell,
                                              TimePoint /*now*/) {
  if (held_.contains(cell)) records_[cell].handover_finished = true;
}

Epoch OwnershipPlanner::RowEpoch(const CellId& cell) const {
  const auto found = records_.find(cell);
  if (found == records_.end() || !found->second.row) return Epoch{};
  return found->second.row->row.epoch;
}

void OwnershipPlanner::NoteStoreAnswers() noexcept {
  store_down_since_.reset();
  store_failures_ = 0;
}

bool OwnershipPlanner::StoreUsable(TimePoint now) const noexcept {
  return !store_down_since_ || now >= store_retry_;
}

std::uint64_t OwnershipPlanner::NextClaimId() {
  ++claims_;
  return DigestOf(self_.value + "/" + std::to_string(incarnation_) + "/" +
                  std::to_string(claims_))
      .value;
}

std::size_t OwnershipPlanner::Handovers() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(held_.begin(), held_.end(),
                    [](const auto& item) { return item.second.yielding; }));
}

}  // namespace jasminespar::membership
