/// @file
/// Memory of the runs that an owner has concluded to be over. Private to this
/// package.

#ifndef JASMINESPAR_JOBS_SRC_RUN_CONCLUSIONS_H_
#define JASMINESPAR_JOBS_SRC_RUN_CONCLUSIONS_H_

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

#include "jasminespar/jobs/run_conclusion.h"

namespace jasminespar::jobs {

/// Remembers the newest conclusions, so that a report that contradicts one can
/// be told from any other report.
class RunConclusions {
 public:
  struct Known {
    RunConcluded concluded;
    TimePoint at;
  };

  void Add(const RunConcluded& concluded, TimePoint now);

  /// @param first_own_run the lowest run number of this owner's epoch.
  /// @return the conclusion that the run, or all runs of earlier owners on the
  ///     worker, were over; null if there is none. Valid until the next Add.
  [[nodiscard]] const Known* Find(const WorkerName& worker,
                                  const TaskName& task, RunNumber run,
                                  RunNumber first_own_run) const;

 private:
  struct Key {
    WorkerName worker;
    TaskName task;
    RunNumber run;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Known> known_;
  std::deque<Key> oldest_first_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_RUN_CONCLUSIONS_H_
