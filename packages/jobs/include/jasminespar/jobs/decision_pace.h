/// @file
/// How often the owner of a cell decides.

#ifndef JASMINESPAR_JOBS_DECISION_PACE_H_
#define JASMINESPAR_JOBS_DECISION_PACE_H_

#include <algorithm>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// A decision looks at every worker and every waiting step, so its time grows
/// with the cell, and so does the number of messages that ask for one. The
/// pause after a decision grows with its time: decisions take a bounded share
/// of the owner's time whatever the size, and one covers all messages that
/// arrived during the pause. Not thread-safe.
class DecisionPace {
 public:
  /// Pause, in times of the decision before it.
  static constexpr int kPauseFactor = 4;
  static constexpr Duration kMinPause = 5ms;
  static constexpr Duration kMaxPause = 400ms;

  void RecordDecision(TimePoint begun, TimePoint ended) noexcept {
    const Duration pause = kPauseFactor * (ended - begun);
    next_ = ended + std::clamp(pause, kMinPause, kMaxPause);
  }

  /// @return how long the next decision has to wait; 0: it may be made now.
  [[nodiscard]] Duration DelayAt(TimePoint now) const noexcept {
    return std::max(Duration{}, next_ - now);
  }

 private:
  TimePoint next_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_DECISION_PACE_H_
