#include "report_order.h"

#include <chrono>
#include <limits>

#include "worker_pool.h"

namespace jasminespar::jobs {

namespace {

/// The clock of a new process shows less than this, and one reading of a clock
/// differs from another by less than this beside the time between them.
constexpr Duration kClockTolerance = 2s;

Duration ToDuration(WorkerClock clock) {
  return std::chrono::milliseconds(clock.value);
}

}  // namespace

bool ReportOrder::IsNewer(OrderNumber poll,
                          const WorkerReport& report) const noexcept {
  if (!newest_ || poll > newest_->last_sent) return true;
  return report.incarnation == newest_->incarnation &&
         report.clock > newest_->clock;
}

void ReportOrder::Record(OrderNumber poll, const WorkerReport& report,
                         TimePoint sent_at, OrderNumber last_sent) noexcept {
  const bool known = newest_ && newest_->incarnation == report.incarnation;
  if (doubted_at_ && poll > *doubted_at_) doubted_at_.reset();
  newest_ = Newest{report.incarnation, report.clock, sent_at, last_sent,
                   known ? newest_->process_since : last_sent};
}

void ReportOrder::EndProcess(OrderNumber last_sent) noexcept {
  constexpr WorkerClock kNeverAgain{std::numeric_limits<std::uint64_t>::max()};
  if (!newest_) return;
  newest_->clock = kNeverAgain;
  newest_->last_sent = last_sent;
}

bool ReportOrder::IsSameProcess(WorkerClock clock,
                                TimePoint now) const noexcept {
  if (!newest_ || in_doubt()) return false;
  // A process that started after the report has run for less than this.
  const Duration elapsed =
      (now - newest_->sent_at) * (100 + kClockDriftPercent) / 100 +
      kClockTolerance;
  return ToDuration(clock) > elapsed && clock >= newest_->clock &&
         ToDuration(clock) <= ToDuration(newest_->clock) + elapsed;
}

}  // namespace jasminespar::jobs
