/// @file
/// Types of a submitted job: its steps, tasks, runs and resource needs.

#ifndef JASMINESPAR_JOBS_JOB_H_
#define JASMINESPAR_JOBS_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// Chosen by the caller; a second submission with the same id is the same job.
using JobId = TextId<struct JobTag>;

/// Name of a queue in the operator's configuration.
using QueueId = TextId<struct QueueTag>;

/// Milliseconds since the Unix epoch, for times that are stored or sent.
using WallTime = NumericId<struct WallTimeTag>;

/// Identifies one run of a task; later runs of a task have higher numbers. The
/// members of a gang run share one number.
using RunNumber = NumericId<struct RunTag>;

/// Resources that a task needs or that a worker offers.
struct Resources {
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;

  constexpr Resources& operator+=(const Resources& other) noexcept {
    cpu_millicores += other.cpu_millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) noexcept {
    cpu_millicores -= other.cpu_millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend constexpr Resources operator+(Resources a,
                                       const Resources& b) noexcept {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a,
                                       const Resources& b) noexcept {
    return a -= b;
  }
};

/// @return whether `need` fits into `room` in every dimension.
[[nodiscard]] constexpr bool Fits(const Resources& need,
                                  const Resources& room) noexcept {
  return need.cpu_millicores <= room.cpu_millicores &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators;
}

/// A step: `count` tasks with the same requirements.
struct StepSpec {
  std::uint32_t count = 0;
  Resources need;       ///< Resources that each task occupies.
  Duration estimate{};  ///< Expected run time of a task.
  /// Indices of earlier steps that must be done first.
  std::vector<std::uint32_t> after;
  bool gang = false;              ///< All tasks start together, or none does.
  bool prefers_one_rack = false;  ///< Runs slower on more than one rack.
  bool checkpointing = false;     ///< A stopped task can be resumed.
  /// Copies of a task may run; the first copy to finish counts.
  bool speculation_allowed = false;
  bool long_running = false;   ///< Runs until the job is cancelled.
  bool fills = false;          ///< Its CPU need is not reserved.
  std::string required_label;  ///< Of its workers; empty: any worker.
  std::string preferred_rack;  ///< Runs slower on others; empty: no preference.
  std::uint32_t max_tasks_per_worker = 0;  ///< 0: no limit.
  /// Tasks of a long-running step that may be down at once.
  std::uint32_t max_unavailable = 0;
  std::string image;  ///< Tasks with the same image behave alike.
  /// Zero: the step serves no users of its own.
  Duration tail_latency_target{};
  bool operator==(const StepSpec&) const = default;
};

/// A job as its caller submits it.
struct JobSpec {
  std::string payload;  ///< Passed to each task unchanged.
  std::vector<StepSpec> steps;
  /// Number of scheduled repetitions; 0: the steps run once, without delay.
  std::uint32_t occurrences = 0;
  WallTime first_due;   ///< Start time of occurrence 0.
  Duration interval{};  ///< Between the starts of occurrences.
  bool operator==(const JobSpec&) const = default;
};

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

inline constexpr NameTable<JobPhase, 5> kJobPhaseNames{{
    {JobPhase::kQueued, "queued", "No task has started."},
    {JobPhase::kRunning, "running", "A task has started."},
    {JobPhase::kCompleted, "completed", "Every task has ended as done."},
    {JobPhase::kFailed, "failed", "A task used up its attempts."},
    {JobPhase::kCancelled, "cancelled", "Its caller cancelled it."},
}};
static_assert(IsDense(kJobPhaseNames));

[[nodiscard]] constexpr bool IsFinal(JobPhase phase) noexcept {
  return phase >= JobPhase::kCompleted;
}

/// One task of one occurrence of a job.
struct TaskName {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskName&) const = default;
};

/// How a run ended, as its worker reports it.
enum class RunEnding : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kMemberEnded,
  kMembersMissing,
};

inline constexpr NameTable<RunEnding, 6> kRunEndingNames{{
    {RunEnding::kDone, "done", "The task has completed."},
    {RunEnding::kFailed, "failed", "The task or its worker failed."},
    {RunEnding::kStopped, "stopped", "A stop was ordered."},
    {RunEnding::kLeaseExpired, "lapsed", "The worker's lease expired."},
    {RunEnding::kMemberEnded, "broken", "Another member of the gang ended."},
    {RunEnding::kMembersMissing, "alone",
     "The other members did not arrive in time."},
}};
static_assert(IsDense(kRunEndingNames));

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_JOB_H_
