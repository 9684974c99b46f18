/// @file
/// Order in which a worker's processes came and made their reports. Private to
/// this package.

#ifndef JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_
#define JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_

#include <optional>

#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

/// Which of a worker's reports is the newest, and which answers come from the
/// process that made it. Several polls may be in flight and their answers may
/// overtake each other, so the last report to arrive is not always the last one
/// that was made:
///
///     poll 1  |--------------made----------------------arrives|
///     poll 2        |------------made----arrives|
///
/// A worker may also start again at any time. Its new process has no runs, and
/// its ends and its clock begin anew.
class ReportOrder {
 public:
  /// @param poll the order that the report answers.
  /// @return whether the report was certainly made after every recorded one:
  ///     its poll was sent once these had arrived, or the same process made it
  ///     and its clock shows a later time.
  [[nodiscard]] bool IsNewer(OrderNumber poll,
                             const WorkerReport& report) const noexcept;

  /// Records a report that is newer than all before.
  /// @param poll the order that the report answers.
  /// @param sent_at when the poll was sent.
  /// @param last_sent the last order sent by now, to any worker.
  void Record(OrderNumber poll, const WorkerReport& report, TimePoint sent_at,
              OrderNumber last_sent) noexcept;

  /// No report that was under way counts: the process that made it has ended.
  /// @param last_sent the last order sent by now, to any worker.
  void EndProcess(OrderNumber last_sent) noexcept;

  /// There may be another process than the one that made the newest report,
  /// until a report answers a poll that is sent from now on.
  /// @param last_sent the last order sent by now, to any worker.
  void Doubt(OrderNumber last_sent) noexcept { doubted_at_ = last_sent; }
  [[nodiscard]] bool in_doubt() const noexcept {
    return doubted_at_.has_value();
  }

  /// @return when the poll of the newest report was sent: the report shows
  ///     nothing that ended before; nothing without a report.
  [[nodiscard]] std::optional<TimePoint> newest_polled_at() const noexcept {
    return newest_ ? std::optional(newest_->sent_at) : std::nullopt;
  }

  /// @param clock of the process that gave an answer.
  /// @param now when the answer arrived.
  /// @return whether the process that made the newest report certainly gave it.
  [[nodiscard]] bool IsSameProcess(WorkerClock clock,
                                   TimePoint now) const noexcept;

  /// @return whether the order was sent once the process that made the newest
  ///     report was known, so that no earlier one can have answered it.
  [[nodiscard]] bool IsForKnownProcess(OrderNumber order) const noexcept {
    return newest_ && order > newest_->process_since;
  }

 private:
  struct Newest {
    Incarnation incarnation;
    WorkerClock clock;
    TimePoint sent_at;          ///< Of its poll.
    OrderNumber last_sent;      ///< When it arrived.
    OrderNumber process_since;  ///< When its process's first one arrived.
  };

  std::optional<Newest> newest_;
  std::optional<OrderNumber> doubted_at_;  ///< The last order sent then.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_REPORT_ORDER_H_
