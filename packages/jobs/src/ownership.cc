#include "jasminespar/jobs/ownership.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// Without an answer of the table within this time, an unchanged owner row does
/// not show that the owner is silent.
constexpr Duration kMaxTableAge = 1500ms;

}  // namespace

Ownership::Ownership(const OwnershipSettings& settings, InstanceId self,
                     std::uint32_t rank, TimePoint now)
    : settings_(settings),
      self_(std::move(self)),
      rank_(rank),
      last_row_change_(now),
      last_owner_heartbeat_(now),
      last_table_read_(now),
      confirmed_at_(now),
      earliest_claim_(now) {}

bool Ownership::HandleOwnerRow(const OwnerRow& row, RowVersion version,
                               TimePoint now) {
  RecordTableRead(now);
  if (version <= version_) return false;
  const bool lost = owned_ && !(row.owner == self_ && row.epoch == row_.epoch);
  last_row_change_ = now;
  if (row.owner != row_.owner) last_owner_heartbeat_ = now;
  table_read_ = true;
  version_ = version;
  row_ = row;
  if (row.owner.value.empty()) {
    earliest_claim_ =
        std::max(earliest_claim_, now + rank_ * settings_.rank_delay);
  }
  if (lost) HandleOwnershipLost(now);
  return lost;
}

void Ownership::HandleMissingOwnerRow(TimePoint now) {
  RecordTableRead(now);
  if (!table_read_) {
    earliest_claim_ =
        std::max(earliest_claim_, now + rank_ * settings_.rank_delay);
  }
  table_read_ = true;
}

OwnershipAction Ownership::Next(TimePoint now) {
  if (!table_read_) return Wait{};
  if (owned_) {
    if (now - confirmed_at_ < settings_.heartbeat_interval) return Wait{};
    return SendHeartbeat{};
  }
  if (leaving_ || now < earliest_claim_) return Wait{};
  if (now - last_table_read_ > kMaxTableAge) return Wait{};
  const bool owner_heard =
      now - last_owner_heartbeat_ < settings_.quick_takeover_timeout;
  const Duration takeover_delay =
      (owner_heard ? settings_.takeover_timeout
                   : settings_.quick_takeover_timeout) +
      rank_ * settings_.rank_delay;
  // A row that names this instance was left by an earlier process of it.
  const bool free = row_.owner.value.empty() || row_.owner == self_;
  if (!free && now - last_row_change_ < takeover_delay) return Wait{};
  return ClaimCell{version_, OwnerRow{self_, Epoch{row_.epoch.durable + 1, 0},
                                      0, WindowsAt(now)}};
}

PredecessorWindows Ownership::WindowsAt(TimePoint now) const {
  const Duration unchanged = now - last_row_change_;
  const PredecessorWindows earlier = WindowsAfter(row_.predecessors, unchanged);
  // The earlier process of this instance has ended, the owners before it may
  // not have.
  if (row_.owner == self_) return earlier;
  // The process that released the cell may not have learned that it did. Of
  // another owner the last confirmed write was sent before this instance saw
  // the row change.
  const bool released = row_.owner.value.empty();
  const PredecessorWindows last =
      WindowsAfter({settings_.max_age_to_renew, settings_.max_age_to_start},
                   released ? Duration{} : unchanged);
  return {std::max(earlier.renew, last.renew),
          std::max(earlier.start, last.start)};
}

OwnerRow Ownership::RenewedRow(TimePoint now) const {
  return {self_, row_.epoch, 0,
          WindowsAfter(claimed_windows_, now - claim_sent_at_)};
}

OwnerRow Ownership::ReleasedRow(TimePoint now) const {
  OwnerRow row = RenewedRow(now);
  row.owner = {};
  return row;
}

bool Ownership::RecordOwnRow(const OwnerRow& row, RowVersion version) {
  if (version > version_) {
    version_ = version;
    row_ = row;
  }
  return row_.owner == row.owner && row_.epoch == row.epoch;
}

bool Ownership::ClaimSucceeded(const OwnerRow& row, RowVersion version,
                               TimePoint sent_at, TimePoint now) {
  if (!RecordOwnRow(row, version)) {
    ClaimFailed(now);
    return false;
  }
  owned_ = true;
  last_row_change_ = now;
  confirmed_at_ = sent_at;
  claimed_windows_ = row.predecessors;
  claim_sent_at_ = sent_at;
  return true;
}

void Ownership::ClaimFailed(TimePoint now) {
  earliest_claim_ = now + settings_.claim_backoff;
}

void Ownership::WriteSucceeded(const OwnerRow& row, RowVersion version,
                               TimePoint sent_at) {
  if (!owned_ || !RecordOwnRow(row, version)) return;
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void Ownership::HandleOwnershipLost(TimePoint now) {
  owned_ = false;
  last_row_change_ = now;
  earliest_claim_ = now + settings_.claim_backoff;
}

}  // namespace jasminespar::jobs
