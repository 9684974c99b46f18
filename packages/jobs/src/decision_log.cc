#include <string>

#include "dispatcher_impl.h"

namespace jasminespar::jobs {

void Dispatcher::Impl::LogJobDecision(DecisionKind kind, const JobState& job,
                                      std::string_view detail, const Now& now) {
  Decision decision;
  decision.kind = kind;
  decision.task.job = job.job.id;
  decision.detail = std::string(detail);
  decision.age = job.AgeAt(now.steady);
  effects_.emplace_back(std::move(decision));
}

void Dispatcher::Impl::LogRunDecision(DecisionKind kind, DecisionCause cause,
                                      const TaskName& task,
                                      const WorkerName& worker, RunNumber run,
                                      std::string_view detail, Duration age) {
  effects_.emplace_back(
      Decision{kind, cause, task, worker, run, std::string(detail), age});
}

void Dispatcher::Impl::LogPaces() {
  Decision decision;
  decision.kind = paces_.WorkersDiffer() ? DecisionKind::kPacesDiffer
                                         : DecisionKind::kPacesAlike;
  decision.detail = "known=" + std::to_string(paces_.known()) +
                    " spread=" + std::to_string(paces_.spread());
  effects_.emplace_back(std::move(decision));
}

void Dispatcher::Impl::LogWorkerDecision(DecisionKind kind,
                                         const WorkerName& worker,
                                         Duration age) {
  Decision decision;
  decision.kind = kind;
  decision.worker = worker;
  decision.age = age;
  effects_.emplace_back(std::move(decision));
}

}  // namespace jasminespar::jobs
