// Log lines of what the owner of the cell decides, concludes and learns.
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/jobserver/dispatch_duty.h"

namespace jasminespar::jobserver {

using telemetry::Counter;
using telemetry::Event;
using telemetry::Field;

namespace {

std::string MillisecondsOrNone(const std::optional<Duration>& duration) {
  return duration ? std::to_string(ToMilliseconds(*duration)) : "none";
}

/// @return JOB.OCCURRENCE.STEP.INDEX; "all" for the name without a job.
std::string TextOf(const jobs::TaskName& task) {
  if (task.job.value.empty()) return "all";
  return task.job.value + '.' + std::to_string(task.occurrence) + '.' +
         std::to_string(task.step) + '.' + std::to_string(task.index);
}

/// The evidence as one field, so that both events show the same.
std::string TextOf(const jobs::LeaseEvidence& evidence) {
  return "basis:" +
         std::string(RowOf(jobs::kLeaseBasisNames, evidence.basis).name) +
         ",past_bound_ms:" +
         std::to_string(ToMilliseconds(evidence.past_bound)) +
         ",renewed_ms:" + MillisecondsOrNone(evidence.since_renewal) +
         ",answered_ms:" + MillisecondsOrNone(evidence.since_answer) +
         ",clock:" + std::to_string(evidence.clock.value) +
         ",clock_age_ms:" + MillisecondsOrNone(evidence.since_clock) +
         ",others_renew_ms:" +
         std::to_string(ToMilliseconds(evidence.predecessors.renew)) +
         ",others_start_ms:" +
         std::to_string(ToMilliseconds(evidence.predecessors.start)) +
         ",loaded_ms:" + std::to_string(ToMilliseconds(evidence.since_load));
}

}  // namespace

void DispatchDuty::PerformEffect(jobs::RunConcluded& concluded) {
  log_.Log(Event::kRunConcluded,
           {{"task", TextOf(concluded.task)},
            {"run", concluded.run.value},
            {"worker", concluded.worker.value},
            {"cause", RowOf(jobs::kDecisionCauseNames, concluded.cause).name},
            {"epoch", ownership_.epoch().durable},
            {"evidence", TextOf(concluded.evidence)}});
}

void DispatchDuty::PerformEffect(jobs::RunContradicted& contradicted) {
  metrics_.Count(Counter::kRunsContradicted);
  log_.Log(
      Event::kRunContradicted,
      {{"kind", RowOf(jobs::kContradictionNames, contradicted.kind).name},
       {"task", TextOf(contradicted.task)},
       {"run", contradicted.run.value},
       {"worker", contradicted.worker.value},
       {"other_run", contradicted.other_run.value},
       {"other_worker", contradicted.other_worker.value},
       {"cause", RowOf(jobs::kDecisionCauseNames, contradicted.cause).name},
       {"concluded_ms", ToMilliseconds(contradicted.since_conclusion)},
       {"epoch", ownership_.epoch().durable},
       {"evidence", TextOf(contradicted.evidence)}});
}

void DispatchDuty::PerformEffect(jobs::StageFailed& failure) {
  log_.Log(Event::kInternalError,
           {{"duty", "dispatch"},
            {"stage", RowOf(jobs::kDispatcherStageNames, failure.stage).name},
            {"id", failure.job.value},
            {"fault", failure.fault}});
}

void DispatchDuty::PerformEffect(jobs::Decision& decision) {
  log_.Log(Event::kJobDecision,
           {{"id", decision.task.job.value},
            {"decision", RowOf(jobs::kDecisionNames, decision.kind).name},
            {"cause", RowOf(jobs::kDecisionCauseNames, decision.cause).name},
            {"occurrence", decision.task.occurrence},
            {"step", decision.task.step},
            {"task", decision.task.index},
            {"run", decision.run.value},
            {"worker", decision.worker.value},
            {"detail", decision.detail},
            {"epoch", ownership_.epoch().durable},
            {"age_ms", ToMilliseconds(decision.age)}});
}

}  // namespace jasminespar::jobserver
