#include "jasminespar/jobs/ownership.h"

#include <algorithm>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// Older readings of the table say nothing about the owner's silence.
constexpr Duration kTableFresh = 1500ms;

}  // namespace

Ownership::Ownership(const OwnershipSettings& settings, InstanceId self,
                     std::uint32_t rank, TimePoint now)
    : settings_(settings),
      self_(std::move(self)),
      rank_(rank),
      last_life_(now),
      owner_heard_at_(now),
      last_table_(now),
      confirmed_at_(now),
      not_before_(now) {}

bool Ownership::HandleOwnerRow(const OwnerRow& row, RowVersion version,
                               TimePoint now) {
  RecordTableRead(now);
  if (version <= version_) return false;
  const bool lost = owned_ && !(row.owner == self_ && row.epoch == row_.epoch);
  last_life_ = now;
  if (row.owner != row_.owner) owner_heard_at_ = now;
  table_read_ = true;
  version_ = version;
  row_ = row;
  if (row.owner.value.empty()) {
    not_before_ = std::max(not_before_, now + rank_ * settings_.rank_delay);
  }
  if (lost) HandleOwnershipLost(now);
  return lost;
}

void Ownership::HandleMissingOwnerRow(TimePoint now) {
  RecordTableRead(now);
  if (!table_read_) {
    not_before_ = std::max(not_before_, now + rank_ * settings_.rank_delay);
  }
  table_read_ = true;
}

OwnershipAction Ownership::Next(TimePoint now) {
  if (!table_read_) return Wait{};
  if (owned_) {
    if (now - confirmed_at_ < settings_.beat_interval) return Wait{};
    return SendHeartbeat{};
  }
  if (leaving_ || now < not_before_) return Wait{};
  if (now - last_table_ > kTableFresh) return Wait{};
  const bool heard = now - owner_heard_at_ < settings_.quick_takeover_after;
  const Duration patience =
      (heard ? settings_.takeover_after : settings_.quick_takeover_after) +
      rank_ * settings_.rank_delay;
  // A row with this instance's own name was left by an earlier process of it.
  const bool free = row_.owner.value.empty() || row_.owner == self_;
  if (!free && now - last_life_ < patience) return Wait{};
  return ClaimCell{version_, Epoch{row_.epoch.durable + 1, 0}};
}

void Ownership::ClaimSucceeded(const OwnerRow& row, RowVersion version,
                               TimePoint sent_at, TimePoint now) {
  owned_ = true;
  last_life_ = now;
  confirmed_at_ = sent_at;
  WriteSucceeded(row, version, sent_at);
}

void Ownership::ClaimFailed(TimePoint now) {
  not_before_ = now + settings_.claim_backoff;
}

void Ownership::WriteSucceeded(const OwnerRow& row, RowVersion version,
                               TimePoint sent_at) {
  if (version > version_) {
    version_ = version;
    row_ = row;
  }
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void Ownership::HandleOwnershipLost(TimePoint now) {
  owned_ = false;
  last_life_ = now;
  not_before_ = now + settings_.claim_backoff;
}

}  // namespace jasminespar::jobs
