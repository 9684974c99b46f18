// What runs in the model, and whether it may.
#include <algorithm>
#include <iostream>

#include "model.h"

namespace jasminespar::jobs {
namespace {

/// Until all members of a gang are there.
constexpr Duration kGangTimeout = 3s;

}  // namespace

std::string NameOf(const TaskName& task) {
  return task.job.value + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

const StepSpec& Model::SpecOf(const TaskName& task) const {
  return specs_.at(task.job).steps[task.step];
}

void Model::StartOn(ModelWorker& worker, const StartRun& start) {
  for (auto& [other_name, other] : workers_) {
    other.Advance(now_);
    const auto held = other.runs.find(start.task);
    if (held == other.runs.end()) continue;
    Violate(NameOf(start.task) + ": run " + std::to_string(start.run.value) +
            " starts on " + worker.entry.name.value + " while run " +
            std::to_string(held->second.run.value) + " is on " +
            other_name.value);
  }
  Trace(start.task.job, NameOf(start.task) + " run " +
                            std::to_string(start.run.value) + " begins on " +
                            worker.entry.name.value);
  starts_[start.task].push_back({start.run, now_});
  ++result_.starts;
  const StepSpec& spec = SpecOf(start.task);
  ModelWorker::Run run;
  run.run = start.run;
  run.begun_at = now_;
  run.ends_at = now_ + (spec.gang ? kGangTimeout : work_.at(start.task.job));
  run.saves_state = spec.checkpointing;
  run.waits = spec.gang;
  worker.runs[start.task] = run;
  if (spec.gang) BeginGang(start.task, start.run);
}

void Model::BeginGang(const TaskName& member, RunNumber run) {
  std::vector<ModelWorker::Run*> present;
  for (auto& [name, worker] : workers_) {
    for (auto& [task, each] : worker.runs) {
      const bool same = task.job == member.job && task.step == member.step;
      if (same && each.run == run && !each.stopping) present.push_back(&each);
    }
  }
  if (present.size() < SpecOf(member).count) return;
  for (ModelWorker::Run* each : present) {
    each->begun_at = now_;
    each->ends_at = now_ + work_.at(member.job);
    each->waits = false;
  }
}

void Model::HandleEnd(const ModelWorker& worker, const EndedRun& end,
                      TimePoint now) {
  ended_[end.task] = {worker.entry.name, end.ending, now};
  Trace(end.task.job, "run " + std::to_string(end.run.value) + " of task " +
                          std::to_string(end.task.index) + " ends: " +
                          std::string(RowOf(kRunEndingNames, end.ending).name));
  if (end.ending == RunEnding::kDone) {
    done_[end.task].push_back({end.run, now, false});
    return;
  }
  if (!SpecOf(end.task).gang || end.ending == RunEnding::kMemberEnded) return;
  // Its worker may be going through its runs.
  After(Duration{}, [this, end] { BreakGang(end.task, end.run); });
}

void Model::BreakGang(const TaskName& member, RunNumber run) {
  for (auto& [name, worker] : workers_) {
    for (std::uint32_t i = 0; i < SpecOf(member).count; ++i) {
      TaskName other = member;
      other.index = i;
      const auto held = worker.runs.find(other);
      if (held == worker.runs.end() || held->second.run != run) continue;
      worker.End(other, RunEnding::kMemberEnded, now_);
    }
  }
}

void Model::NoteAcknowledged(ModelWorker& worker, std::uint64_t acknowledge_to,
                             std::uint64_t epoch) {
  for (const EndedRun& end : worker.ends) {
    if (end.number > acknowledge_to) break;
    const auto found = worker.lapsed_since.find(end.number);
    if (found == worker.lapsed_since.end()) continue;
    Trace(end.task.job, "end " + std::to_string(end.run.value) +
                            " noted by epoch " + std::to_string(epoch) +
                            (found->second ? ", lapsed" : ""));
    for (DoneRun& done : done_[end.task]) {
      if (done.run == end.run) done.noted = !found->second;
    }
    worker.lapsed_since.erase(found);
  }
  std::erase_if(worker.ends, [&](const EndedRun& end) {
    return end.number <= acknowledge_to;
  });
}

void Model::CheckConclusion(const Instance& owner,
                            const RunConcluded& concluded) {
  // An owner that has lost the cell starts nothing on what it concludes.
  if (row_.epoch != owner.epoch) return;
  ++result_.concluded;
  ModelWorker& worker = workers_.at(concluded.worker);
  worker.Advance(now_);
  const bool all = concluded.task.job.value.empty();
  for (const auto& [task, run] : worker.runs) {
    const bool over = all ? run.run.value < concluded.below.value
                          : task == concluded.task && run.run == concluded.run;
    if (!over) continue;
    Violate(
        NameOf(task) + ": run " + std::to_string(run.run.value) + " on " +
        concluded.worker.value + " counts as over, " +
        std::string(RowOf(kDecisionCauseNames, concluded.cause).name) + " by " +
        std::string(RowOf(kLeaseBasisNames, concluded.evidence.basis).name));
  }
  // What the worker itself has shown has no margin.
  if (concluded.cause != DecisionCause::kLeaseExpired) return;
  for (const auto& [task, ended] : ended_) {
    if (ended.worker != concluded.worker) continue;
    if (ended.ending != RunEnding::kLeaseExpired) continue;
    if (!all && task != concluded.task) continue;
    const Duration margin = now_ - ended.at;
    result_.least_margin =
        std::min(margin, result_.least_margin.value_or(margin));
  }
}

void Model::CheckEnds() {
  for (const auto& [task, ends] : done_) {
    for (const DoneRun& end : ends) {
      for (const StartedRun& start : starts_[task]) {
        if (!end.noted || start.at <= end.ended_at) continue;
        Violate(NameOf(task) + ": run " + std::to_string(start.run.value) +
                " started after the end of run " +
                std::to_string(end.run.value) + ", which was noted");
      }
    }
  }
  for (const auto& [accepted_at, job] : jobs_) {
    if (completed_.contains(job.id)) continue;
    Violate(job.id.value + ": is not completed");
  }
}

void Model::Trace(const JobId& job, const std::string& what) {
  if (settings_.traced.value.empty() || job != settings_.traced) return;
  std::cout << ToMilliseconds(now_ - TimePoint(1h)) << " ms: " << what << '\n';
}

void Model::TraceDecision(const Instance& instance, const Decision& decision) {
  Trace(decision.task.job,
        instance.name.value + ": " +
            std::string(RowOf(kDecisionNames, decision.kind).name) + " task " +
            std::to_string(decision.task.index) + " run " +
            std::to_string(decision.run.value) + " " + decision.worker.value +
            " " + decision.detail);
}

void Model::Violate(const std::string& what) {
  result_.violations.push_back(
      std::to_string(ToMilliseconds(now_ - TimePoint(1h))) + " ms: " + what);
}

}  // namespace jasminespar::jobs
