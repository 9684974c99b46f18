#include "jasminespar/jobs/progress.h"

namespace jasminespar::jobs {

namespace {

constexpr std::size_t kBitsPerByte = 8;

/// Of a length, a run number or a list's size.
constexpr std::size_t kNumberBytes = 8;

/// Of the row's fixed fields and the sizes of its lists.
constexpr std::size_t kRowBytes = 4 * kNumberBytes;

/// Of the fields that say which task or step an element is about.
constexpr std::size_t kPositionBytes = 12;

std::size_t StoredSizeBound(const TaskProgress& task) {
  return kPositionBytes + kNumberBytes * (2 + task.failed_runs.size()) +
         task.checkpoint.size();
}

}  // namespace

std::size_t StoredSizeBound(const JobProgress& progress) {
  std::size_t bytes = kRowBytes + progress.job.value.size();
  const TaskProgress* done_before = nullptr;
  std::size_t done_bytes = 0;  // Of the bits of the step of `done_before`.
  for (const TaskProgress& task : progress.tasks) {
    if (!task.done) {
      bytes += StoredSizeBound(task);
      continue;
    }
    const bool same_step = done_before != nullptr &&
                           done_before->occurrence == task.occurrence &&
                           done_before->step == task.step;
    if (!same_step) {
      bytes += done_bytes + kPositionBytes + kNumberBytes;
    }
    done_bytes = task.index / kBitsPerByte + 1;
    done_before = &task;
  }
  return bytes + done_bytes;
}

}  // namespace jasminespar::jobs
