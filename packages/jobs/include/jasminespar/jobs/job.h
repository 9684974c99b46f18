/// @file
/// A job as its caller submits it: steps of tasks with what they need.

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

/// Chosen by the caller; the same id is the same job.
using JobId = TextId<struct JobTag>;

/// Name of a queue in the operator's configuration.
using QueueId = TextId<struct QueueTag>;

/// Milliseconds since the Unix epoch, for times that outlive a process.
using WallTime = NumericId<struct WallTimeTag>;

/// Number of a start of a task; rises over the whole life of the task.
using RunNumber = NumericId<struct RunTag>;

/// What a task takes from its worker, and what a worker has.
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

/// Tasks that are alike.
struct StepSpec {
  std::uint32_t count = 0;
  Resources need;                    ///< Of each task.
  Duration estimate{};               ///< Rough length of a task.
  std::vector<std::uint32_t> after;  ///< Earlier steps that must be done.
  bool gang = false;                 ///< All tasks of one run, or none.
  bool prefers_one_rack = false;     ///< Slower on more than one rack.
  bool checkpointing = false;        ///< Stopped work can be resumed.
  bool speculation_allowed = false;  ///< The first copy to finish counts.
  bool long_running = false;         ///< Runs until the job is cancelled.
  bool fills = false;                ///< Its processors are not reserved.
  std::string required_label;        ///< Empty: any worker.
  std::string preferred_rack;        ///< Slower elsewhere; empty: none.
  std::uint32_t max_tasks_per_worker =
      0;                              ///< Tasks on one worker; 0: any number.
  std::uint32_t max_unavailable = 0;  ///< Of a long-running step.
  std::string image;                  ///< Tasks of one image behave alike.
  Duration tail_latency_target{};     ///< Zero: serves no users of its own.
  bool operator==(const StepSpec&) const = default;
};

/// Everything that a caller says of a job.
struct JobSpec {
  std::string payload;  ///< Handed to each task as it is.
  std::vector<StepSpec> steps;
  std::uint32_t occurrences = 0;  ///< 0: the steps run once, at once.
  WallTime first_due;             ///< Of occurrence 0.
  Duration interval{};            ///< Between occurrences.
  bool operator==(const JobSpec&) const = default;
};

/// A job as the table keeps it from its acceptance on.
struct AcceptedJob {
  JobId id;
  QueueId queue;
  ClientAccountId account;
  WallTime accepted_at;
  JobSpec spec;
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

/// How a run ended, as its worker lists it.
enum class RunEnding : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kAlone,
};

inline constexpr NameTable<RunEnding, 6> kRunEndingNames{{
    {RunEnding::kDone, "done", "The task is finished."},
    {RunEnding::kFailed, "failed", "The task or its worker failed."},
    {RunEnding::kStopped, "stopped", "It was told to stop."},
    {RunEnding::kLapsed, "lapsed", "The lease of the worker ran out."},
    {RunEnding::kBroken, "broken", "Another member of the gang ended."},
    {RunEnding::kAlone, "alone", "The other members did not come in time."},
}};
static_assert(IsDense(kRunEndingNames));

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_JOB_H_
