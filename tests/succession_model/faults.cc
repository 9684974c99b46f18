// Faults and callers of the model.
#include <algorithm>
#include <utility>

#include "model.h"

namespace jasminespar::jobs {
namespace {

constexpr std::size_t kZones = 3;
constexpr int kFaultKinds = 10;
/// Workers write their entries this often; the platform deletes an entry that
/// was not written for three times as long.
constexpr Duration kEntryInterval = 1500ms;
constexpr Duration kEntryExpiry = 3 * kEntryInterval;
/// Of the hand-over that is searched message by message.
constexpr Duration kHandOverCut = 12s;
constexpr Duration kHandOverCounted = 14s;

}  // namespace

Model::Instance* Model::FindOwner() {
  const auto owner =
      std::find_if(instances_.begin(), instances_.end(), [](const auto& each) {
        return each.running && each.dispatcher != nullptr;
      });
  return owner == instances_.end() ? nullptr : &*owner;
}

void Model::StartFault() {
  if (now_ >= faults_end_) return;
  After(Between(500ms, 8s), [this] { StartFault(); });
  const int kind =
      std::uniform_int_distribution<int>(0, kFaultKinds - 1)(random_);
  if (kind == 0) SlowTable();
  if (kind == 1) {
    const auto zone =
        std::uniform_int_distribution<std::size_t>(0, kZones - 1)(random_);
    CutZone(zone, Between(1s, 16s));
  }
  if (kind == 2) RestartWorker(AnyWorker());
  if (kind == 3) DrainWorker(AnyWorker());
  if (kind == 4) {
    Instance& jumps = instances_[static_cast<std::size_t>(
        std::uniform_int_distribution<int>(0, 3)(random_))];
    jumps.wall_offset += Between(-3s, 3s);
  }
  AnyWorker().hears_slowly_until = now_ + Between(1s, 5s);
  Instance* owner = FindOwner();
  if (owner != nullptr) StartOwnerFault(*owner, kind);
}

void Model::StartOwnerFault(Instance& owner, int kind) {
  if (kind == 5) Kill(owner, Between(300ms, 4s));
  if (kind == 6) Stand(owner, Between(200ms, 6s));
  if (kind == 7 || kind == 8) {
    // Its leases outlive the first restart of its successor.
    CutZone(owner.zone, Between(10s, 25s));
    successors_to_kill_ = 1 + (Happens(0.3) ? 1 : 0);
    if (Happens(0.3)) RestartWorker(AnyWorker());
  }
  if (kind == 9) {
    owner.leaving = true;
    owner.ownership->StopClaiming();
    After(Between(500ms, 6s),
          [this, &instance = owner, process = owner.process] {
            if (instance.process == process) Kill(instance, Between(300ms, 1s));
          });
    // It may act on before it learns that it has released the cell, while its
    // successor has not reached every worker.
    if (Happens(0.7)) {
      owner.unheard_until = now_ + 2s;
      for (Instance& other : instances_) {
        if (&other != &owner) other.jobs_slow_until = now_ + 4s;
      }
    } else {
      SlowTable();
    }
    for (int i = 0; i < 6; ++i) {
      After(Between(0ms, 1500ms),
            [this] { jobs_.emplace_back(now_, DrawJob()); });
    }
    for (auto& [name, worker] : workers_) {
      if (Happens(0.5)) worker.hears_slowly_until = now_ + 4s;
    }
  }
}

void Model::PlayHandOver() {
  Instance* owner = FindOwner();
  if (owner == nullptr) return;
  counts_messages_ = true;
  After(kHandOverCounted, [this] { counts_messages_ = false; });
  CutZone(owner->zone, kHandOverCut);
  successors_to_kill_ = 1;
}

void Model::SlowTable() {
  slow_until_ = std::min(now_ + Between(1s, 6s), faults_end_);
  for (Instance& instance : instances_) {
    if (Happens(0.5)) instance.reads_slow_until = slow_until_;
  }
}

void Model::CutZone(std::size_t zone, Duration duration) {
  cut_until_[zone] = std::min(now_ + duration, faults_end_);
}

void Model::Stand(Instance& instance, Duration duration) {
  instance.stands_until = std::max(instance.stands_until, now_ + duration);
}

void Model::StartProcess(Instance& instance) {
  ++instance.process;
  instance.running = true;
  instance.leaving = false;
  instance.stands_until = TimePoint{};
  const auto rank = static_cast<std::uint32_t>(&instance - instances_.data());
  instance.ownership.emplace(OwnershipSettings{}, instance.name, rank,
                             SteadyOf(instance));
  Tick(instance);
}

void Model::Kill(Instance& instance, Duration restart_after) {
  if (!instance.running) return;
  instance.running = false;
  ++instance.process;
  instance.dispatcher.reset();
  instance.in_flight.reset();
  instance.pending.reset();
  After(restart_after, [this, &instance] {
    if (!instance.running) StartProcess(instance);
  });
}

ModelWorker& Model::AnyWorker() {
  const auto skipped = std::uniform_int_distribution<std::ptrdiff_t>(
      0, static_cast<std::ptrdiff_t>(workers_.size()) - 1)(random_);
  return std::next(workers_.begin(), skipped)->second;
}

void Model::RestartWorker(ModelWorker& worker) {
  if (!worker.up) return;
  ++result_.worker_restarts;
  const std::map<TaskName, ModelWorker::Run> lost = worker.runs;
  worker.Exit();
  for (const auto& [task, run] : lost) {
    ended_.erase(task);
    if (SpecOf(task).gang) BreakGang(task, run.run);
  }
  After(Between(100ms, 8s), [this, &worker] {
    if (!worker.up) worker.Begin(now_);
  });
}

void Model::DrainWorker(ModelWorker& worker) {
  if (!worker.up || worker.leaving) return;
  worker.leaving = true;
  if (Happens(0.3)) {
    // Its entry may expire before it exits.
    After(Between(100ms, 1s),
          [this, &worker] { CutZone(worker.zone, Between(6s, 16s)); });
  }
  const Incarnation drained = worker.entry.incarnation;
  After(Between(3s, 12s), [this, &worker, drained] {
    if (!worker.up || worker.entry.incarnation != drained) return;
    if (!IsCut(worker.zone)) worker.listed = false;
    RestartWorker(worker);
  });
}

void Model::KeepList() {
  After(100ms, [this] { KeepList(); });
  for (auto& [name, worker] : workers_) {
    const bool writes = worker.up && !IsCut(worker.zone);
    const bool changed = worker.leaving != worker.entry.leaving;
    if (writes && (changed || now_ - worker.entry_at >= kEntryInterval)) {
      worker.listed = true;
      worker.entry_at = now_;
      worker.entry.leaving = worker.leaving;
      worker.entry.clock = worker.ClockAt(now_);
    }
    if (now_ - worker.entry_at >= kEntryExpiry) worker.listed = false;
  }
}

void Model::SubmitJob() {
  if (now_ >= faults_end_) return;
  After(Between(50ms, 1500ms), [this] { SubmitJob(); });
  jobs_.emplace_back(now_, DrawJob());
}

AcceptedJob Model::DrawJob() {
  StepSpec step;
  step.count = std::uniform_int_distribution<std::uint32_t>(1, 3)(random_);
  step.need = {1000, 1000, 1};
  step.gang = Happens(0.2);
  step.checkpointing = Happens(0.3);
  AcceptedJob job;
  job.id.value = std::to_string(1'000'000 + jobs_.size());
  job.queue.value = "batch";
  if (Happens(0.1)) {
    job.queue.value = "urgent";
    step.need.accelerators = 4;
    step.gang = true;
  }
  job.account.value = "school";
  job.accepted_at.value =
      static_cast<std::uint64_t>(ToMilliseconds(now_ - TimePoint{}));
  const Duration work = Happens(0.3) ? Between(8s, 30s) : Between(300ms, 4s);
  step.estimate = work;
  job.spec.steps = {step};
  if (Happens(0.2)) {
    step.after = {0};
    job.spec.steps.push_back(step);
  }
  work_[job.id] = work;
  specs_[job.id] = job.spec;
  return job;
}

}  // namespace jasminespar::jobs
