/// @file
/// What becomes of a run on a worker that leaves. Private to this package.

#ifndef JASMINESPAR_JOBS_SRC_DEPARTURES_H_
#define JASMINESPAR_JOBS_SRC_DEPARTURES_H_

#include <cstdint>
#include <optional>

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// How far a run has come, from the reports that listed it.
struct RunProgressTrack {
  std::optional<TimePoint> first_at;  ///< Of the first report.
  std::uint32_t first_percent = 0;
  TimePoint last_at;  ///< Of the first report with the present percent.
  std::uint32_t last_percent = 0;

  void Record(std::uint32_t percent, TimePoint now);

  /// @param estimate run time of the whole task.
  /// @param started_at when the worker confirmed the run.
  /// @return expected time to its end: from its rate if that is known, else
  ///     from the estimate; zero if it is overdue.
  [[nodiscard]] Duration ExpectedLeft(Duration estimate, TimePoint started_at,
                                      TimePoint now) const;
};

/// A run on a worker that leaves.
struct DepartingRun {
  Duration worker_left{};    ///< Shortest time until the worker ends.
  Duration run_left{};       ///< Expected time until the run ends.
  Duration stop_limit{};     ///< Longest time that a stop takes.
  bool saves_state = false;  ///< A stop keeps the work that is done.
};

enum class DepartureChoice : std::uint8_t {
  kLeaveAlone,
  kStop,  ///< And start it elsewhere.
};

/// A run that ends in time is left alone. One that saves its state is stopped
/// at the last moment at which that certainly succeeds: until then it goes on
/// working, and what it does is kept. One that does not loses its work in any
/// case; it is stopped at once if it certainly cannot end, as it then starts
/// elsewhere sooner.
[[nodiscard]] DepartureChoice ChooseFor(const DepartingRun& run);

/// @param known time of the departure as known before; nothing: unknown.
/// @param left shortest time that is left, as just reported.
/// @return time of the departure. Reports are somewhat old when they arrive, so
///     the earliest time counts, unless one says that it is put off.
[[nodiscard]] TimePoint DepartureTime(std::optional<TimePoint> known,
                                      Duration left, TimePoint now);

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_DEPARTURES_H_
