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
  marked_leaving_ = self != nullptr && self->state == MemberState::kLeaving;
  // Owned cells come from the planner's own state, as `cells` may omit one.
  std::set<CellId> owned;
  for (const auto& [cell, ownership] : owned_cells_) owned.insert(cell);
  for (const CellId& cell : owned) {
    PlanOwnedCell(view, candidates, cell, now, actions);
  }
  for (const CellId& cell : cells) {
    if (owned.contains(cell)) continue;
    PlanUnownedCell(view, candidates, cell, now, actions);
  }
  return actions;
}

TimePoint OwnershipPlanner::NextPlan(TimePoint now) const {
  return now + settings_.plan_interval;
}

void OwnershipPlanner::PlanOwnedCell(const View& view,
                                     const Candidates& candidates,
                                     const CellId& cell, TimePoint now,
                                     Actions& actions) {
  CellOwnership& ownership = owned_cells_.at(cell);
  CellRecord& record = records_[cell];
  const CellOwner* known = view.FindCell(cell);
  if (known != nullptr && known->epoch > ownership.epoch) {
    DropOwnership(cell, actions);
    return;
  }
  if (record.pending != Pending::kNone) return;
  if (record.handover_finished) {
    if (!CanUseStore(now)) return;
    if (record.write_unresolved) {
      RequestRow(cell, record, actions);
    } else {
      StartRelease(cell, record, actions);
    }
    return;
  }
  if (!ownership.handing_over &&
      ShouldHandOver(candidates, cell, record, now)) {
    ownership.handing_over = true;
    actions.emplace_back(StartHandover{cell});
  }
}

bool OwnershipPlanner::ShouldHandOver(const Candidates& candidates,
                                      const CellId& cell, CellRecord& record,
                                      TimePoint now) const {
  if (leaving_) return true;
  const InstanceId best = candidates.BestOf(cell).value_or(self_);
  if (best != record.preferred) {
    record.preferred = best;
    record.preferred_since = now;
  }
  if (best == self_ || !CanUseStore(now)) return false;
  if (marked_leaving_) return true;
  return now - record.preferred_since >= settings_.rebalance_delay &&
         HandoverCount() < settings_.max_concurrent_handovers;
}

void OwnershipPlanner::PlanUnownedCell(const View& view,
                                       const Candidates& candidates,
                                       const CellId& cell, TimePoint now,
                                       Actions& actions) {
  if (leaving_ || !CanUseStore(now)) return;
  CellRecord& record = records_[cell];
  const std::optional<std::size_t> rank = candidates.RankOf(cell, self_);
  if (!rank) {
    record.vacancy = Vacancy::kNone;
    return;
  }
  if (record.pending != Pending::kNone) return;
  if (!record.row || record.write_unresolved) {
    RequestRow(cell, record, actions);
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
  const Duration row_age = now - record.row_read_at;
  // A live owner whose heartbeats no longer name the cell may have released it.
  const bool recheck =
      (vacancy == Vacancy::kSilentOwner || vacancy == Vacancy::kOutdatedRow) &&
      row_age > settings_.max_row_age * (1 + *rank);
  if (recheck || (due && row_age > settings_.max_row_age)) {
    RequestRow(cell, record, actions);
  } else if (due && vacancy != Vacancy::kOutdatedRow) {
    StartClaim(cell, record, actions);
  }
}

Duration OwnershipPlanner::ClaimDelay(const View& view, const CellId& cell,
                                      const CellRecord& record,
                                      std::size_t rank) const {
  if (provisional_.contains(cell)) return Duration::zero();
  const bool remote = configuration::DataCentreOf(cell) != view.data_centre;
  const Duration delay =
      settings_.claim_stagger * static_cast<Duration::rep>(rank) +
      (remote ? settings_.remote_claim_delay : Duration::zero());
  switch (record.vacancy) {
    case Vacancy::kOwnRow:
      return Duration::zero();
    case Vacancy::kUnknownOwner:
      return delay + settings_.unknown_owner_delay;
    case Vacancy::kSilentOwner:
      return delay + settings_.silent_owner_delay;
    case Vacancy::kReleased: {
      const bool released_here =
          record.row->version != 0 &&
          record.row->row.claim_id == record.last_write.claim_id;
      return released_here ? std::max(delay, settings_.own_release_delay)
                           : delay;
    }
    case Vacancy::kNone:
    case Vacancy::kOutdatedRow:
    case Vacancy::kSuspectedOwner:
      break;
  }
  return delay;
}

void OwnershipPlanner::RequestRow(const CellId& cell, CellRecord& record,
                                  Actions& actions) const {
  if (record.write_unresolved &&
      settings_.mutation == OwnershipMutation::kBlindRetry &&
      record.last_write.owner == self_) {
    record.pending = Pending::kClaim;
    actions.emplace_back(
        ClaimCell{cell, record.expected_version, record.last_write});
    return;
  }
  record.pending = Pending::kRead;
  actions.emplace_back(ReadRow{cell});
}

void OwnershipPlanner::StartClaim(const CellId& cell, CellRecord& record,
                                  Actions& actions) {
  const bool reuse_epoch = settings_.mutation == OwnershipMutation::kReuseEpoch;
  const std::uint64_t durable = record.row->row.epoch.durable;
  record.last_write = OwnershipRow{
      cell, self_, peer_, Epoch{reuse_epoch ? durable : durable + 1, 0},
      NextClaimId()};
  record.expected_version = record.row->version;
  record.pending = Pending::kClaim;
  actions.emplace_back(
      ClaimCell{cell, record.expected_version, record.last_write});
}

void OwnershipPlanner::StartRelease(const CellId& cell, CellRecord& record,
                                    Actions& actions) {
  const CellOwnership& ownership = owned_cells_.at(cell);
  record.last_write =
      OwnershipRow{cell, InstanceId{}, {}, ownership.epoch, NextClaimId()};
  record.expected_version = ownership.row_version;
  record.pending = Pending::kRelease;
  actions.emplace_back(
      ReleaseCell{cell, record.expected_version, record.last_write});
}

std::vector<OwnershipAction> OwnershipPlanner::HandleRowRead(
    const CellId& cell, const VersionedRow& read, TimePoint now) {
  Actions actions;
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  ResetStoreFailures();
  if (std::exchange(record.write_unresolved, false) && read.version != 0 &&
      read.row.claim_id == record.last_write.claim_id) {
    ApplyWrite(cell, record, read.version, now);
  } else {
    ApplyRow(cell, read, now, actions);
  }
  return actions;
}

void OwnershipPlanner::HandleWriteCommitted(const CellId& cell,
                                            std::uint64_t version,
                                            TimePoint now) {
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  record.write_unresolved = false;
  ResetStoreFailures();
  ApplyWrite(cell, record, version, now);
}

void OwnershipPlanner::ApplyWrite(const CellId& cell, CellRecord& record,
                                  std::uint64_t version, TimePoint now) {
  record.row = VersionedRow{record.last_write, version};
  record.row_read_at = now;
  record.vacancy = Vacancy::kNone;
  record.handover_finished = false;
  provisional_.erase(cell);
  if (record.last_write.owner != self_) {
    owned_cells_.erase(cell);
    return;
  }
  record.preferred = InstanceId{};
  owned_cells_[cell] = CellOwnership{record.last_write.epoch, version, false};
}

std::vector<OwnershipAction> OwnershipPlanner::HandleWriteConflict(
    const CellId& cell, const VersionedRow& present, TimePoint now) {
  Actions actions;
  CellRecord& record = records_[cell];
  record.pending = Pending::kNone;
  ResetStoreFailures();
  const bool was_unresolved = std::exchange(record.write_unresolved, false);
  if (was_unresolved && settings_.mutation == OwnershipMutation::kBlindRetry) {
    ApplyWrite(cell, record, present.version, now);
  } else {
    ApplyRow(cell, present, now, actions);
  }
  return actions;
}

void OwnershipPlanner::ApplyRow(const CellId& cell, const VersionedRow& row,
                                TimePoint now, Actions& actions) {
  CellRecord& record = records_[cell];
  if (record.row && record.row->version != row.version) {
    record.vacancy = Vacancy::kNone;
  }
  record.row = row;
  record.row_read_at = now;
  const auto ownership = owned_cells_.find(cell);
  if (ownership != owned_cells_.end() &&
      row.version != ownership->second.row_version) {
    DropOwnership(cell, actions);
    record.row = row;
  }
  record.row->row.cell = cell;
}

void OwnershipPlanner::DropOwnership(const CellId& cell, Actions& actions) {
  const auto ownership = owned_cells_.find(cell);
  actions.emplace_back(DropCell{cell, ownership->second.epoch});
  owned_cells_.erase(ownership);
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
  record.write_unresolved = true;
}

void OwnershipPlanner::HandleStoreFailure(const CellId& cell, TimePoint now) {
  records_[cell].pending = Pending::kNone;
  if (!store_down_since_) store_down_since_ = now;
  constexpr std::uint32_t kMaxDoublings = 16;
  const Duration backoff =
      std::min(settings_.store_backoff_limit,
               settings_.store_backoff_base *
                   (1 << std::min(store_failures_, kMaxDoublings)));
  ++store_failures_;
  // Jitter between half and all of the backoff, so that the instances do not
  // retry at the same time.
  const std::uint64_t hash =
      SeededHash(self_.value, incarnation_ + store_failures_);
  const auto half = backoff.count() / 2;
  const auto jitter =
      static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(half + 1));
  next_store_attempt_ = now + Duration(half + jitter);
}

std::vector<OwnershipAction> OwnershipPlanner::HandleEpochRefused(
    const CellId& cell, TimePoint /*now*/) {
  Actions actions;
  if (owned_cells_.contains(cell)) DropOwnership(cell, actions);
  return actions;
}

void OwnershipPlanner::HandleHandoverFinished(const CellId& cell,
                                              TimePoint /*now*/) {
  if (owned_cells_.contains(cell)) records_[cell].handover_finished = true;
}

Epoch OwnershipPlanner::RowEpoch(const CellId& cell) const {
  const auto found = records_.find(cell);
  if (found == records_.end() || !found->second.row) return Epoch{};
  return found->second.row->row.epoch;
}

void OwnershipPlanner::ResetStoreFailures() noexcept {
  store_down_since_.reset();
  store_failures_ = 0;
}

bool OwnershipPlanner::CanUseStore(TimePoint now) const noexcept {
  return !store_down_since_ || now >= next_store_attempt_;
}

std::uint64_t OwnershipPlanner::NextClaimId() {
  ++claim_count_;
  return DigestOf(self_.value + "/" + std::to_string(incarnation_) + "/" +
                  std::to_string(claim_count_))
      .value;
}

std::size_t OwnershipPlanner::HandoverCount() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(owned_cells_.begin(), owned_cells_.end(),
                    [](const auto& item) { return item.second.handing_over; }));
}

}  // namespace jasminespar::membership
