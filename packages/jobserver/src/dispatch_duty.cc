#include "jasminespar/jobserver/dispatch_duty.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "jasminespar/core/digest.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

using telemetry::Event;
using telemetry::Timing;

namespace {

constexpr Duration kOwnerTick = 100ms;
constexpr Duration kIdleTick = 200ms;

/// Candidates are spread over this many places, so that few claim at once.
constexpr std::uint64_t kRanks = 6;

/// Small instances also have little processor time and a slow link: they own a
/// cell only when no larger one claims it.
constexpr std::uint32_t kAmpleMemoryBytes = 250U << 20;
constexpr std::uint32_t kScarceMemoryBytes = 200U << 20;

jobs::Now PresentTime() {
  return {runtime::SteadyNow(),
          {static_cast<std::uint64_t>(runtime::WallMilliseconds())}};
}

std::uint32_t RankOf(const InstanceId& self, std::uint32_t memory_bytes) {
  std::uint64_t rank = SeededHash(self.value, 0) % kRanks;
  if (memory_bytes < kAmpleMemoryBytes) rank += kRanks;
  if (memory_bytes < kScarceMemoryBytes) rank += kRanks;
  return static_cast<std::uint32_t>(rank);
}

}  // namespace

DispatchDuty::DispatchDuty(runtime::Duty& duty, InstanceId self,
                           std::uint32_t memory_bytes,
                           const jobs::DispatcherSettings& settings,
                           const Rings& rings, telemetry::Metrics& metrics)
    : duty_(duty),
      self_(std::move(self)),
      settings_(settings),
      rings_(rings),
      metrics_(metrics),
      log_(rings.telemetry),
      tick_timer_(duty.context()),
      ownership_(jobs::OwnershipSettings{}, self_, RankOf(self_, memory_bytes),
                 runtime::SteadyNow()) {}

void DispatchDuty::Start() { ScheduleTick(); }

void DispatchDuty::Handle(ToDispatch message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void DispatchDuty::On(ConfigurationSeen& seen) {
  configuration_ = std::move(seen.configuration);
  if (dispatcher_ != nullptr) {
    Feed(jobs::ConfigurationChanged{configuration_});
  }
}

void DispatchDuty::On(CancellationSeen& seen) {
  if (dispatcher_ != nullptr) Feed(jobs::JobCancelled{std::move(seen.job)});
}

void DispatchDuty::On(OwnerSeen& seen) {
  const jobs::OwnerRow before = ownership_.row();
  const TimePoint now = runtime::SteadyNow();
  const bool lost = ownership_.HandleOwnerRow(seen.row, seen.version, now);
  const jobs::OwnerRow& after = ownership_.row();
  if (before.epoch != after.epoch || before.owner != after.owner) {
    log_.Log(Event::kOwnerChanged, {{"owner", after.owner.value},
                                    {"epoch", after.epoch.durable},
                                    {"row", seen.version.value}});
  }
  if (lost) StepDown();
  FollowOwnership();
}

void DispatchDuty::On(OwnerAbsent&) {
  ownership_.HandleMissingOwnerRow(runtime::SteadyNow());
  FollowOwnership();
}

void DispatchDuty::On(TableSeen&) {
  ownership_.RecordTableRead(runtime::SteadyNow());
}

void DispatchDuty::On(JobSeen& seen) {
  if (!Owns(seen.epoch)) return;
  Feed(jobs::JobLoaded{std::move(seen.job), std::move(seen.progress)});
}

void DispatchDuty::On(EnrolledSeen& seen) {
  if (Owns(seen.epoch)) Feed(std::move(seen.worker));
}

void DispatchDuty::On(WorkerSeen& seen) {
  if (Owns(seen.epoch)) Feed(jobs::WorkerListed{std::move(seen.entry)});
}

void DispatchDuty::On(WorkerGone& gone) {
  if (Owns(gone.epoch)) Feed(jobs::WorkerUnlisted{std::move(gone.name)});
}

void DispatchDuty::On(LoadFinished& finished) {
  if (!Owns(finished.epoch)) return;
  const TimePoint now = runtime::SteadyNow();
  dispatcher_->FinishLoading(now);
  metrics_.Observe(Timing::kTakeover, now - claimed_at_);
  log_.Log(Event::kCellRecovered,
           {{"cell", kCellPart},
            {"epoch", finished.epoch.durable},
            {"took_ms", ToMilliseconds(now - claimed_at_)}});
  ScheduleDecision();
}

void DispatchDuty::On(OrderReturned& returned) {
  if (Owns(returned.epoch)) Feed(std::move(returned.ended));
}

void DispatchDuty::On(WriteEnded& ended) {
  const auto forgotten = forgetting_.find(ended.number);
  if (forgotten != forgetting_.end()) {
    // Rows that stay after a failure are deleted by a later owner.
    if (std::holds_alternative<site::Committed>(ended.outcome)) {
      forgettable_.push_back(forgotten->second);
    }
    forgetting_.erase(forgotten);
    return;
  }
  if (!in_flight_ || in_flight_->number != ended.number) return;
  OwnerWriteEnded(ended.outcome);
}

void DispatchDuty::On(PeerHeard& heard) {
  ownership_.HandlePeerHeartbeat(heard.instance, runtime::SteadyNow());
}

void DispatchDuty::On(LeaveCell&) {
  ownership_.StopClaiming();
  release_wanted_ = true;
  FollowOwnership();
}

void DispatchDuty::On(DispatcherSettingsChanged& changed) {
  settings_ = changed.settings;  // In force from the next epoch on.
}

void DispatchDuty::ScheduleTick() {
  tick_timer_.expires_after(dispatcher_ != nullptr ? kOwnerTick : kIdleTick);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Tick();
    ScheduleTick();
  });
}

void DispatchDuty::Tick() {
  FollowOwnership();
  if (dispatcher_ != nullptr) Decide();
}

void DispatchDuty::ScheduleDecision() {
  if (std::exchange(decision_scheduled_, true)) return;
  // After the messages that wait now, so that one decision serves them all.
  boost::asio::post(duty_.context(), [this] {
    decision_scheduled_ = false;
    if (dispatcher_ != nullptr) Decide();
  });
}

void DispatchDuty::Decide() {
  const TimePoint begun = runtime::SteadyNow();
  Perform(dispatcher_->Decide(ownership_.AuthorityAt(begun), PresentTime()));
  metrics_.Observe(Timing::kDecision, runtime::SteadyNow() - begun);
}

void DispatchDuty::Feed(jobs::DispatcherInput input) {
  Perform(dispatcher_->Handle(std::move(input), PresentTime()));
  ScheduleDecision();
}

void DispatchDuty::Perform(std::vector<jobs::DispatcherEffect> effects) {
  for (jobs::DispatcherEffect& effect : effects) {
    std::visit([this](auto& alternative) { PerformEffect(alternative); },
               effect);
  }
}

void DispatchDuty::PerformEffect(jobs::SendOrder& order) {
  rings_.workers.Send(ForwardOrder{ownership_.epoch(), std::move(order)});
}

void DispatchDuty::PerformEffect(jobs::Commit& commit) {
  waiting_commit_ = std::move(commit);
  SendNextCommit();
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
