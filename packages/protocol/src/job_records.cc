#include "jasminespar/protocol/job_records.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "encode_value.h"
#include "queue_serialization.h"
#include "serialization.h"

namespace jasminespar {
namespace jobs {

template <typename Archive>
void serialize(Archive& archive, Resources& resources) {
  archive(resources.cpu_millicores, resources.memory_mb,
          resources.accelerators);
}
template <typename Archive>
void serialize(Archive& archive, StepSpec& step) {
  archive(step.count, step.need, step.estimate, step.after, step.gang,
          step.prefers_one_rack, step.checkpointing, step.speculation_allowed,
          step.long_running, step.fills, step.required_label,
          step.preferred_rack, step.max_tasks_per_worker, step.max_unavailable,
          step.image, step.tail_latency_target);
}
template <typename Archive>
void serialize(Archive& archive, JobSpec& spec) {
  archive(spec.payload, spec.steps, spec.occurrences, spec.first_due,
          spec.interval);
}
template <typename Archive>
void serialize(Archive& archive, AcceptedJob& job) {
  archive(job.id, job.queue, job.account, job.accepted_at, job.spec);
  protocol::SerializeAppended(archive, job.accepted_under);
}
template <typename Archive>
void serialize(Archive& archive, JobStatus& status) {
  CheckedEnum phase(status.phase, kJobPhaseNames);
  archive(status.job, status.queue, phase, status.accepted_at, status.timed);
}
template <typename Archive>
void serialize(Archive& archive, PredecessorWindows& windows) {
  archive(windows.renew, windows.start);
}
template <typename Archive>
void serialize(Archive& archive, OwnerRow& row) {
  archive(row.owner, row.epoch, row.write);
  protocol::SerializeAppended(archive, row.predecessors);
}
template <typename Archive>
void serialize(Archive& archive, WorkerEnrolled& worker) {
  archive(worker.name, worker.host, worker.port);
}
template <typename Archive>
void serialize(Archive& archive, TaskProgress& task) {
  archive(task.occurrence, task.step, task.index, task.failed_runs,
          task.checkpoint);
}

}  // namespace jobs

namespace protocol {
namespace {

constexpr std::size_t kBitsPerByte = 8;

/// Completed tasks of one step of one occurrence; bit i is set for task i.
struct CompletedTasks {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::string bits;
};
template <typename Archive>
void serialize(Archive& archive, CompletedTasks& done) {
  archive(done.occurrence, done.step, done.bits);
}

/// Stored form of JobProgress. Most tasks have no state other than being
/// completed, so completed tasks are stored as bits and only others in full.
struct ProgressRow {
  jobs::JobId job;
  jobs::JobPhase phase = jobs::JobPhase::kQueued;
  std::vector<CompletedTasks> done;
  std::vector<jobs::TaskProgress> others;
};
template <typename Archive>
void serialize(Archive& archive, ProgressRow& row) {
  CheckedEnum phase(row.phase, jobs::kJobPhaseNames);
  archive(row.job, phase, row.done, row.others);
}

void SetBit(std::string& bits, std::size_t index) {
  if (bits.size() <= index / kBitsPerByte) {
    bits.resize(index / kBitsPerByte + 1, '\0');
  }
  char& byte = bits[index / kBitsPerByte];
  byte = static_cast<char>(byte | (1U << (index % kBitsPerByte)));
}

ProgressRow ToRow(const jobs::JobProgress& progress) {
  ProgressRow row{progress.job, progress.phase, {}, {}};
  for (const jobs::TaskProgress& task : progress.tasks) {
    if (!task.done) {
      row.others.push_back(task);
      continue;
    }
    if (row.done.empty() || row.done.back().occurrence != task.occurrence ||
        row.done.back().step != task.step) {
      row.done.push_back({task.occurrence, task.step, {}});
    }
    SetBit(row.done.back().bits, task.index);
  }
  return row;
}

jobs::JobProgress FromRow(ProgressRow row) {
  jobs::JobProgress progress{std::move(row.job), row.phase,
                             std::move(row.others)};
  for (const CompletedTasks& done : row.done) {
    for (std::size_t i = 0; i < done.bits.size() * kBitsPerByte; ++i) {
      const auto byte = static_cast<unsigned char>(done.bits[i / kBitsPerByte]);
      if ((byte >> (i % kBitsPerByte) & 1U) == 0) continue;
      jobs::TaskProgress task;
      task.occurrence = done.occurrence;
      task.step = done.step;
      task.index = static_cast<std::uint32_t>(i);
      task.done = true;
      progress.tasks.push_back(std::move(task));
    }
  }
  return progress;
}

}  // namespace

std::string Encode(const jobs::AcceptedJob& job) { return EncodeValue(job); }
jobs::AcceptedJob DecodeAcceptedJob(std::string_view bytes) {
  return DecodeValue<jobs::AcceptedJob>(bytes);
}

std::string Encode(const jobs::JobProgress& progress) {
  return EncodeValue(ToRow(progress));
}
jobs::JobProgress DecodeJobProgress(std::string_view bytes) {
  return FromRow(DecodeValue<ProgressRow>(bytes));
}

std::string Encode(const jobs::JobStatus& status) {
  return EncodeValue(status);
}
jobs::JobStatus DecodeJobStatus(std::string_view bytes) {
  return DecodeValue<jobs::JobStatus>(bytes);
}

std::string Encode(const jobs::QueueRecord& record) {
  return EncodeValue(record);
}
jobs::QueueRecord DecodeQueueRecord(std::string_view bytes) {
  return DecodeValue<jobs::QueueRecord>(bytes);
}

std::string Encode(const jobs::OwnerRow& row) { return EncodeValue(row); }
jobs::OwnerRow DecodeOwnerRow(std::string_view bytes) {
  return DecodeValue<jobs::OwnerRow>(bytes);
}

std::string Encode(const jobs::WorkerEnrolled& worker) {
  return EncodeValue(worker);
}
jobs::WorkerEnrolled DecodeWorkerEnrolled(std::string_view bytes) {
  return DecodeValue<jobs::WorkerEnrolled>(bytes);
}

}  // namespace protocol
}  // namespace jasminespar
