#include "report_order.h"

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

}  // namespace jasminespar::jobs
