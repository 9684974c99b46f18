/// @file
/// Scheduler of one cell: assigns tasks to workers and tracks their runs.

#ifndef JASMINESPAR_JOBS_DISPATCHER_H_
#define JASMINESPAR_JOBS_DISPATCHER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "jasminespar/core/switch.h"
#include "jasminespar/jobs/messages.h"
#include "jasminespar/jobs/predecessor_windows.h"

namespace jasminespar::jobs {

/// Timing limits of the site's workers and of the owner of a cell.
struct DispatcherSettings {
  Duration max_lease = 10s;          ///< Longest lease that a worker grants.
  Duration status_retention = 120s;  ///< Of the status of an ended job.
  /// Time until a task that was stopped with a checkpoint runs again.
  Duration resume_delay = 250ms;
  Duration stop_limit = 900ms;  ///< Longest time a worker takes to stop a run.
  /// Time between two reports of a worker to the platform.
  Duration entry_interval = 1500ms;
  Duration reclaim_within = 3400ms;  ///< Bound on the start of guaranteed work.
  std::size_t max_row_bytes = 64U << 10;  ///< Of a row of the table.
  /// Nothing starts in a data centre that the operator empties from this time
  /// on; zero: the operator empties none.
  Duration evacuate_within{};
  Switch worker_pace = Switch::kOn;  ///< Use how fast workers run tasks.
  Switch caller_cost = Switch::kOn;  ///< Bound the wait of late jobs.
  Switch departures = Switch::kOn;   ///< Use the time left of leaving workers.
};

/// What the owner may do, given the age of its last confirmed heartbeat.
enum class Authority : std::uint8_t {
  kNone,       ///< No orders: another instance may own the cell.
  kRenewOnly,  ///< Leases are renewed; nothing starts.
  kFull,
};

inline constexpr NameTable<Authority, 3> kAuthorityNames{{
    {Authority::kNone, "none", "No orders are sent."},
    {Authority::kRenewOnly, "keep", "Leases are renewed; nothing starts."},
    {Authority::kFull, "full", "Everything is allowed."},
}};
static_assert(IsDense(kAuthorityNames));

/// Nothing starts while the platform's list of workers is known for an earlier
/// time only: a worker may have begun to leave since.
inline constexpr Duration kMaxWorkerListAge = 1800ms;

/// What the owner knows of the pace of its workers.
struct PaceSummary {
  std::size_t known = 0;  ///< Workers whose pace is known well.
  double spread = 0;      ///< Standard deviation of its logarithm.
};

/// Makes the scheduling decisions of one cell during one epoch of ownership.
/// Performs no I/O: the caller feeds inputs and carries out the returned
/// effects in order. Not thread-safe.
class Dispatcher {
 public:
  /// @param epoch of the ownership; part of every run number.
  Dispatcher(const DispatcherSettings& settings, Epoch epoch,
             const PredecessorWindows& predecessors);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Must be called once every job in the table was given by JobLoaded; no
  /// order is sent before.
  void FinishLoading(TimePoint now);

  /// Handles one input. Starts, polls and commits that follow from it are made
  /// by the next `Decide`.
  /// @return effects to carry out.
  [[nodiscard]] std::vector<DispatcherEffect> Handle(DispatcherInput input,
                                                     const Now& now);

  /// Polls workers, expires leases of silent ones, starts waiting tasks, and
  /// commits progress. To be called periodically and after inputs.
  /// @return effects to carry out.
  [[nodiscard]] std::vector<DispatcherEffect> Decide(Authority authority,
                                                     const Now& now);

  [[nodiscard]] PaceSummary paces() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_DISPATCHER_H_
