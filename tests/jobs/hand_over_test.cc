// Two instances around a hand-over of the cell.
#include <catch2/catch.hpp>

#include "jasminespar/jobs/ownership.h"

namespace jasminespar::jobs {
namespace {

constexpr TimePoint kNow{1h};
const OwnershipSettings kSettings;

/// An owner whose last write was confirmed as sent at kNow.
Ownership MakeOwner(const OwnerRow& row) {
  Ownership owner(kSettings, row.owner, 0, kNow - 1min);
  owner.HandleMissingOwnerRow(kNow);
  owner.ClaimSucceeded(row, RowVersion{5}, kNow, kNow);
  return owner;
}

const OwnerRow kRow{InstanceId{"owner"}, Epoch{3, 0}, 1};

TEST_CASE("orders expire before another instance may own the cell") {
  const Ownership owner = MakeOwner(kRow);
  Ownership next(kSettings, InstanceId{"next"}, 0, kNow - 1min);
  next.HandleOwnerRow(kRow, RowVersion{5}, kNow);
  TimePoint claim = kNow;
  while (!std::holds_alternative<ClaimCell>(next.Next(claim))) {
    claim += 10ms;
    next.RecordTableRead(claim);
  }
  CHECK(owner.OrderExpiry(StartRun{}) < claim);
  CHECK(owner.AuthorityAt(claim) != Authority::kFull);
  CHECK(owner.OrderExpiry(PollWorker{}) <= kNow + kSettings.max_age_to_renew);
}

/// @return the claim that an instance makes at kNow or as soon as it may.
ClaimCell ClaimOf(const InstanceId& claimant, const OwnerRow& row) {
  Ownership next(kSettings, claimant, 0, kNow - 1min);
  next.HandleOwnerRow(row, RowVersion{5}, kNow);
  for (TimePoint now = kNow;; now += 10ms) {
    next.RecordTableRead(now);
    const OwnershipAction action = next.Next(now);
    if (const auto* claim = std::get_if<ClaimCell>(&action)) return *claim;
  }
}

TEST_CASE("a claim knows how long the previous owner can still act") {
  const ClaimCell silent = ClaimOf(InstanceId{"next"}, kRow);
  CHECK(silent.predecessor.start == Duration{});
  CHECK(silent.predecessor.renew ==
        kSettings.max_age_to_renew - kSettings.quick_takeover_timeout);
  OwnerRow released = kRow;
  released.owner = {};
  const ClaimCell after_release = ClaimOf(InstanceId{"next"}, released);
  CHECK(after_release.predecessor.start == kSettings.max_age_to_start);
  CHECK(after_release.predecessor.renew == kSettings.max_age_to_renew);
}

TEST_CASE("a restarted owner does not wait for itself") {
  const ClaimCell claim = ClaimOf(kRow.owner, kRow);
  CHECK(claim.predecessor.renew == Duration{});
  CHECK(claim.predecessor.start == Duration{});
}

TEST_CASE("an owner that was paused has no permission when it goes on") {
  const Ownership owner = MakeOwner(kRow);
  CHECK(owner.AuthorityAt(kNow + 1s) == Authority::kFull);
  CHECK(owner.AuthorityAt(kNow + 5s) == Authority::kNone);
}

TEST_CASE("an owner that reads another's row has no permission from then on") {
  Ownership owner = MakeOwner(kRow);
  const OwnerRow taken{InstanceId{"next"}, Epoch{4, 0}, 1};
  CHECK(owner.HandleOwnerRow(taken, RowVersion{9}, kNow + 100ms));
  CHECK(owner.AuthorityAt(kNow + 100ms) == Authority::kNone);
}

}  // namespace
}  // namespace jasminespar::jobs
