#include "jasminespar/scheduling/scheduler.h"

#include <utility>

#include "scheduler_state.h"

namespace jasminespar::scheduling {

Scheduler::Scheduler(const PolicySettings& settings,
                     configuration::CellTopology topology)
    : state_(std::make_unique<State>(settings, topology)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::ApplyTopology(configuration::CellTopology topology,
                              TimePoint /*now*/) {
  state_->ApplyTopology(topology);
}

void Scheduler::ApplyShare(const configuration::CellShare& share,
                           TimePoint /*now*/) {
  state_->ApplyShare(share);
}

std::optional<Refusal> Scheduler::Enqueue(const Job& job, TimePoint now) {
  return state_->Enqueue(job, now);
}

bool Scheduler::Remove(const CallId& id) { return state_->Remove(id); }

void Scheduler::Adopt(const Job& job, const Placement& placement,
                      TimePoint now) {
  state_->Adopt(job, placement, now);
}

void Scheduler::Release(const CallId& id, TimePoint now) {
  state_->Release(id, now);
}

void Scheduler::RecordResult(const CallId& id, WorkerId worker,
                             TaskResult result, TimePoint now) {
  state_->RecordResult(id, worker, result, now);
}

bool Scheduler::IsPoison(const CallId& id) const {
  return state_->IsPoison(id);
}

std::vector<Action> Scheduler::Decide(TimePoint now) {
  return state_->Decide(now);
}

std::optional<TimePoint> Scheduler::NextDecision(TimePoint now) const {
  return state_->NextDecision(now);
}

LoadSummary Scheduler::Summary(TimePoint now) const {
  return state_->Summary(now);
}

std::vector<GuaranteeDeficit> Scheduler::GuaranteeDeficits() const {
  return state_->GuaranteeDeficits();
}

std::optional<std::string> Scheduler::Explain(const CallId& id,
                                              TimePoint now) const {
  return state_->Explain(id, now);
}

}  // namespace jasminespar::scheduling
