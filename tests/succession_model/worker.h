/// @file
/// A worker of the model: its process, its clock, and what runs on it.

#ifndef JASMINESPAR_TESTS_SUCCESSION_MODEL_WORKER_H_
#define JASMINESPAR_TESTS_SUCCESSION_MODEL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

/// A worker, which keeps the rules of the platform's workers and has a clock of
/// its own.
class ModelWorker {
 public:
  struct Run {
    RunNumber run;
    TimePoint begun_at;
    TimePoint ends_at;
    bool stopping = false;
    bool saves_state = false;  ///< A stop leaves a checkpoint.
    bool waits = false;        ///< For the other members of its gang.

    /// @return the share of its work that is done.
    [[nodiscard]] std::uint32_t PercentAt(TimePoint now) const;
    /// @return how it ends at `ends_at`.
    [[nodiscard]] RunEnding EndingInTime() const;
  };

  [[nodiscard]] WorkerClock ClockAt(TimePoint now) const;
  /// Ends runs whose time or lease is over.
  void Advance(TimePoint now);
  void Renew(WorkerClock until, TimePoint now);
  void End(const TaskName& task, RunEnding ending, TimePoint now);
  /// Its process ends: nothing runs any more, and no end is listed.
  void Exit();
  /// A new process begins, which knows nothing of the earlier one.
  void Begin(TimePoint now);

  WorkerEntry entry;
  std::size_t zone = 0;
  double rate = 1.0;  ///< Of its clock.
  bool up = true;
  bool leaving = false;
  bool listed = true;            ///< The platform's list has its entry.
  TimePoint entry_at;            ///< When the entry was last written.
  TimePoint hears_slowly_until;  ///< Orders take long to reach it.
  TimePoint born_at;             ///< When its process began.
  std::uint64_t fence = 0;
  WorkerClock lease_until;
  std::map<TaskName, Run> runs;
  std::vector<EndedRun> ends;
  std::uint64_t last_end = 0;
  std::map<TaskName, RunNumber> highest_ended;
  /// Ends `done` that are not acknowledged, and whether the lease has lapsed
  /// since.
  std::map<std::uint64_t, bool> lapsed_since;
  /// Called for each end that it lists.
  std::function<void(const EndedRun&, TimePoint)> on_end;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_SUCCESSION_MODEL_WORKER_H_
