/// @file
/// Spreads the site's budget of store writes over the owners and decides when
/// an owner's batch of journal records is written.

#ifndef JASMINESPAR_MEMBERSHIP_WRITE_BUDGET_H_
#define JASMINESPAR_MEMBERSHIP_WRITE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "jasminespar/core/time.h"

namespace jasminespar::membership {

struct WriteBudgetSettings {
  double site_writes_per_second = 300;
  /// Part of the site's writes kept for claims, release notes and snapshots.
  double reserved = 0.2;
  /// Most writes that an owner may save up; writes.
  double burst = 4;
  std::size_t full_batch_bytes = 64 * 1024;  ///< Written without waiting.
  Duration retry_base = 200ms;  ///< Backoff after a failure; doubles.
  Duration retry_limit = 10s;
};

/// What waits to be written.
struct Batch {
  std::size_t records = 0;
  std::size_t bytes = 0;
  bool urgent = false;  ///< Something waits for a record to become durable.
};

/// Token bucket over the writes of one owner. Not thread-safe.
class WriteBudget {
 public:
  explicit WriteBudget(const WriteBudgetSettings& settings);

  /// @param owners journals written by instances now, as known from the view;
  ///     at least 1.
  void SetOwnerCount(std::size_t owners, TimePoint now);

  /// @return when the batch may be written: `now` or earlier when the share is
  ///     unspent, else when the next write is earned. Records that arrive
  ///     meanwhile join the batch, so the interval follows from share and load.
  ///     Nothing when the batch is empty.
  [[nodiscard]] std::optional<TimePoint> NextWriteTime(const Batch& batch,
                                                       TimePoint now) const;

  /// Charges one transaction.
  /// @param rows written by it; each counts against the store's budget.
  void RecordWrite(std::size_t rows, TimePoint now);

  /// The store failed or was over budget: backs off, and spreads the owners
  /// out so that they do not all come back at once.
  template <typename Generator>
  void RecordFailure(TimePoint now, Generator& generator) {
    Backoff(now, std::uniform_real_distribution<double>(0.5, 1.5)(generator));
  }

  void RecordSuccess() noexcept { failures_ = 0; }

  [[nodiscard]] double writes_per_second() const noexcept { return rate_; }

 private:
  void Backoff(TimePoint now, double jitter);
  [[nodiscard]] double TokensAt(TimePoint now) const;

  WriteBudgetSettings settings_;
  double rate_;
  double tokens_;
  TimePoint counted_;
  TimePoint not_before_;
  std::uint32_t failures_ = 0;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_WRITE_BUDGET_H_
