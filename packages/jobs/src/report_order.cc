#include "report_order.h"

#include <limits>

namespace jasminespar::jobs {

bool ReportOrder::IsNewer(OrderNumber poll,
                          const WorkerReport& report) const noexcept {
  if (!newest_ || poll > newest_->last_sent) return true;
  return report.incarnation == newest_->incarnation &&
         report.clock > newest_->clock;
}

void ReportOrder::Record(const WorkerReport& report,
                         OrderNumber last_sent) noexcept {
  newest_ = Newest{report.incarnation, report.clock, last_sent};
}

void ReportOrder::EndProcess(OrderNumber last_sent) noexcept {
  constexpr WorkerClock kNeverAgain{std::numeric_limits<std::uint64_t>::max()};
  const Incarnation ended = newest_ ? newest_->incarnation : Incarnation{};
  newest_ = Newest{ended, kNeverAgain, last_sent};
}

}  // namespace jasminespar::jobs
