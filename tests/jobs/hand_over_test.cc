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
  REQUIRE(owner.ClaimSucceeded(row, RowVersion{5}, kNow, kNow));
  return owner;
}

const OwnerRow kRow{InstanceId{"owner"}, Epoch{3, 0}, 1, {}};

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
  CHECK(silent.row.predecessors.start == Duration{});
  CHECK(silent.row.predecessors.renew ==
        kSettings.max_age_to_renew - kSettings.quick_takeover_timeout);
  OwnerRow released = kRow;
  released.owner = {};
  const ClaimCell after_release = ClaimOf(InstanceId{"next"}, released);
  CHECK(after_release.row.predecessors.start == kSettings.max_age_to_start);
  CHECK(after_release.row.predecessors.renew == kSettings.max_age_to_renew);
}

TEST_CASE("a restarted owner does not wait for itself") {
  const ClaimCell claim = ClaimOf(kRow.owner, kRow);
  CHECK(claim.row.predecessors.renew == Duration{});
  CHECK(claim.row.predecessors.start == Duration{});
}

TEST_CASE("a restarted owner waits for the owner before it") {
  // Its first process claimed the cell from an owner that was cut off, and was
  // killed at once: review/1, tasks that ran twice.
  const ClaimCell first = ClaimOf(InstanceId{"next"}, kRow);
  REQUIRE(first.row.predecessors.renew > Duration{});
  CHECK(ClaimOf(first.row.owner, first.row).row.predecessors ==
        first.row.predecessors);
}

TEST_CASE("an owner records less and less of the owners before it") {
  OwnerRow row = kRow;
  row.predecessors = {3s, 1s};
  const Ownership owner = MakeOwner(row);
  CHECK(owner.RenewedRow(kNow + 500ms).predecessors ==
        PredecessorWindows{2500ms, 500ms});
  CHECK(owner.ReleasedRow(kNow + 2s).predecessors ==
        PredecessorWindows{1s, {}});
  CHECK(owner.RenewedRow(kNow + 1min).predecessors == PredecessorWindows{});
}

TEST_CASE("an owner that was paused has no permission when it goes on") {
  const Ownership owner = MakeOwner(kRow);
  CHECK(owner.AuthorityAt(kNow + 1s) == Authority::kFull);
  CHECK(owner.AuthorityAt(kNow + 5s) == Authority::kNone);
}

TEST_CASE("an owner that reads another's row has no permission from then on") {
  Ownership owner = MakeOwner(kRow);
  const OwnerRow taken{InstanceId{"next"}, Epoch{4, 0}, 1, {}};
  CHECK(owner.HandleOwnerRow(taken, RowVersion{9}, kNow + 100ms));
  CHECK(owner.AuthorityAt(kNow + 100ms) == Authority::kNone);
}

// Guards against a stale owner (review/11): it took the row of the instance
// that had claimed the cell from it for its own, kept renewing it, and started
// nothing, so that every accepted job stood.
TEST_CASE("a claim that is confirmed after another one has no effect") {
  Ownership stale(kSettings, InstanceId{"stale"}, 0, kNow - 1min);
  stale.HandleMissingOwnerRow(kNow);
  const OwnerRow own{InstanceId{"stale"}, Epoch{2, 0}, 1, {}};
  const OwnerRow newer{InstanceId{"next"}, Epoch{3, 0}, 1, {}};
  REQUIRE(std::holds_alternative<ClaimCell>(stale.Next(kNow)));
  SECTION("the rows of others arrive first") {
    stale.HandleOwnerRow(newer, RowVersion{6}, kNow + 1s);
    SECTION("one write of the next owner") {}
    SECTION("two owners later") {
      stale.HandleOwnerRow({InstanceId{"third"}, Epoch{4, 0}, 1, {}},
                           RowVersion{7}, kNow + 1100ms);
    }
    SECTION("the next owner has released the cell") {
      stale.HandleOwnerRow({InstanceId{}, Epoch{3, 0}, 2, {}}, RowVersion{7},
                           kNow + 1100ms);
    }
  }
  SECTION("its own row and then another's arrive first") {
    stale.HandleOwnerRow(own, RowVersion{5}, kNow + 1s);
    stale.HandleOwnerRow(newer, RowVersion{6}, kNow + 1100ms);
  }
  const OwnerRow known = stale.row();
  const RowVersion version = stale.version();
  CHECK_FALSE(stale.ClaimSucceeded(own, RowVersion{5}, kNow, kNow + 1200ms));
  CHECK_FALSE(stale.owned());
  CHECK(stale.AuthorityAt(kNow + 1200ms) == Authority::kNone);
  CHECK(stale.row() == known);
  CHECK(stale.version() == version);
  CHECK(std::holds_alternative<Wait>(stale.Next(kNow + 1200ms)));
}

TEST_CASE("a claim that the watch shows before its confirmation succeeds") {
  Ownership owner(kSettings, kRow.owner, 0, kNow - 1min);
  owner.HandleMissingOwnerRow(kNow);
  owner.HandleOwnerRow(kRow, RowVersion{5}, kNow + 10ms);
  CHECK(owner.ClaimSucceeded(kRow, RowVersion{5}, kNow, kNow + 20ms));
  CHECK(owner.epoch() == kRow.epoch);
}

TEST_CASE("a write confirmed after the cell was lost gives no authority") {
  Ownership owner = MakeOwner(kRow);
  const OwnerRow taken{InstanceId{"next"}, Epoch{4, 0}, 1, {}};
  owner.HandleOwnerRow(taken, RowVersion{9}, kNow + 100ms);
  OwnerRow renewed = owner.RenewedRow(kNow + 50ms);
  renewed.owner = kRow.owner;
  renewed.epoch = kRow.epoch;
  owner.WriteSucceeded(renewed, RowVersion{8}, kNow + 50ms);
  CHECK(owner.AuthorityAt(kNow + 100ms) == Authority::kNone);
  CHECK(owner.row() == taken);
}

}  // namespace
}  // namespace jasminespar::jobs
