/// @file
/// Divides the site's budget of store writes among the owners and decides when
/// an owner writes its batch of journal records.

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
  /// Fraction of the site's writes kept for claims, release notes and
  /// snapshots.
  double reserved_fraction = 0.2;
  /// Unused writes that an owner can accumulate.
  double burst = 4;
  std::size_t full_batch_bytes = 64 * 1024;  ///< A full batch counts as urgent.
  Duration retry_base = 200ms;  ///< Backoff; doubles with each failure.
  Duration retry_limit = 10s;
};

/// The records that are not written yet.
struct Batch {
  std::size_t records = 0;
  std::size_t bytes = 0;
  bool urgent = false;  ///< A request waits until a record is durable.
};

/// Token bucket for the writes of one owner. Not thread-safe.
class WriteBudget {
 public:
  explicit WriteBudget(const WriteBudgetSettings& settings);

  /// Sets this owner's share of the site's writes.
  /// @param owners number of journals that instances write now, per the view; 0
  ///     counts as 1.
  void SetOwnerCount(std::size_t owners, TimePoint now);

  /// Records that arrive before that time join the batch, so the interval
  /// between writes follows from share and load.
  /// @return when the batch may be written: `now` or earlier when enough tokens
  ///     are left, else when they will have been earned. Nothing when the batch
  ///     is empty.
  [[nodiscard]] std::optional<TimePoint> NextWriteTime(const Batch& batch,
                                                       TimePoint now) const;

  /// Charges one transaction to the budget.
  /// @param rows number of rows written; each counts as one write.
  void RecordWrite(std::size_t rows, TimePoint now);

  /// Backs off after the store failed or was over budget, with jitter so that
  /// the owners do not all retry at once.
  template <typename Generator>
  void RecordFailure(TimePoint now, Generator& generator) {
    Backoff(now, std::uniform_real_distribution<double>(0.5, 1.5)(generator));
  }

  void RecordSuccess() noexcept { failures_ = 0; }

  [[nodiscard]] double writes_per_second() const noexcept {
    return writes_per_second_;
  }

 private:
  void Backoff(TimePoint now, double jitter);
  [[nodiscard]] double TokensAt(TimePoint now) const;

  WriteBudgetSettings settings_;
  double writes_per_second_;
  double tokens_;
  TimePoint tokens_updated_;
  TimePoint not_before_;
  std::uint32_t failures_ = 0;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_WRITE_BUDGET_H_
