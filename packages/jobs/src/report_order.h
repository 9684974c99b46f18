/// @file
/// Order in which a worker made its reports. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_
#define JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_

#include <optional>

#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

/// Which of a worker's reports is the newest. Several polls may be in flight
/// and their answers may overtake each other, so the last report to arrive is
/// not always the last one that was made:
///
///     poll 1  |--------------made----------------------arrives|
///     poll 2        |------------made----arrives|
class ReportOrder {
 public:
  /// @param poll the order that the report answers.
  /// @return whether the report was certainly made after every recorded one:
  ///     its poll was sent once these had arrived, or the same process made it
  ///     and its clock shows a later time.
  [[nodiscard]] bool IsNewer(OrderNumber poll,
                             const WorkerReport& report) const noexcept;

  /// Records a report that is newer than all before.
  /// @param last_sent the last order sent by now, to any worker.
  void Record(const WorkerReport& report, OrderNumber last_sent) noexcept;

  /// No report that was under way counts: the process that made it has ended.
  /// @param last_sent the last order sent by now, to any worker.
  void EndProcess(OrderNumber last_sent) noexcept;

 private:
  struct Newest {
    Incarnation incarnation;
    WorkerClock clock;
    OrderNumber last_sent;  ///< When the report arrived.
  };

  std::optional<Newest> newest_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_
