#include "jasminespar/jobserver/dispatch_duty.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/digest.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

using telemetry::Event;
using telemetry::Gauge;
using telemetry::Timing;

namespace {

constexpr Duration kOwnerTickInterval = 100ms;
constexpr Duration kIdleTickInterval = 200ms;

/// Candidates of one size class are spread over this many ranks, so that few
/// claim at once.
constexpr std::uint64_t kRankCount = 6;

/// Instances with less memory also have little processor time and a slow link:
/// each limit that an instance stays below delays its claim, so that it owns a
/// cell only when no larger instance claims it.
constexpr std::uint32_t kAmpleMemoryBytes = 250U << 20;
constexpr std::uint32_t kScarceMemoryBytes = 200U << 20;

jobs::Now CurrentTime() {
  return {runtime::SteadyNow(),
          {static_cast<std::uint64_t>(runtime::WallMilliseconds())}};
}

std::uint32_t RankOf(const InstanceId& self, std::uint32_t memory_bytes) {
  std::uint64_t rank = SeededHash(self.value, 0) % kRankCount;
  if (memory_bytes < kAmpleMemoryBytes) rank += kRankCount;
  if (memory_bytes < kScarceMemoryBytes) rank += kRankCount;
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
      decision_timer_(duty.context()),
      ownership_(jobs::OwnershipSettings{}, self_, RankOf(self_, memory_bytes),
                 runtime::SteadyNow()) {}

void DispatchDuty::Start() { ScheduleTick(); }

void DispatchDuty::Handle(ToDispatch message) {
  std::visit([this](auto& alternative) { On(alternative); }, message);
}

void DispatchDuty::On(ConfigurationUpdate& update) {
  configuration_ = std::move(update.configuration);
  if (dispatcher_ != nullptr) {
    HandleInput(jobs::ConfigurationChanged{configuration_});
  }
}

void DispatchDuty::On(CancellationFound& found) {
  if (dispatcher_ != nullptr) {
    HandleInput(jobs::JobCancelled{std::move(found.job)});
  }
}

void DispatchDuty::On(CancellationDeleted& deleted) {
  if (dispatcher_ != nullptr) {
    HandleInput(jobs::CancellationRowDeleted{std::move(deleted.job)});
  }
}

void DispatchDuty::On(OwnerUpdate& update) {
  const jobs::OwnerRow before = ownership_.row();
  const TimePoint now = runtime::SteadyNow();
  const bool lost = ownership_.HandleOwnerRow(update.row, update.version, now);
  const jobs::OwnerRow& after = ownership_.row();
  if (before.epoch != after.epoch || before.owner != after.owner) {
    log_.Log(Event::kOwnerChanged, {{"owner", after.owner.value},
                                    {"epoch", after.epoch.durable},
                                    {"row", update.version.value}});
  }
  if (lost) StepDown();
  AdvanceOwnership();
}

void DispatchDuty::On(OwnerAbsent&) {
  ownership_.HandleMissingOwnerRow(runtime::SteadyNow());
  AdvanceOwnership();
}

void DispatchDuty::On(TableAnswered&) {
  ownership_.RecordTableRead(runtime::SteadyNow());
}

void DispatchDuty::On(JobUpdate& update) {
  if (!Owns(update.epoch)) return;
  HandleInput(
      jobs::JobLoaded{std::move(update.job), std::move(update.progress)});
}

void DispatchDuty::On(JobRowRemoved& removed) {
  if (Owns(removed.epoch)) HandleInput(std::move(removed.job));
}

void DispatchDuty::On(JobRowsRead& read) {
  if (Owns(read.epoch)) HandleInput(std::move(read.rows));
}

void DispatchDuty::On(QueueRecordFound& found) {
  if (Owns(found.epoch)) HandleInput(std::move(found.recorded));
}

void DispatchDuty::On(EnrolledWorkerFound& found) {
  if (Owns(found.epoch)) HandleInput(std::move(found.worker));
}

void DispatchDuty::On(WorkerUpdate& update) {
  if (Owns(update.epoch)) {
    HandleInput(jobs::WorkerListed{std::move(update.entry)});
  }
}

void DispatchDuty::On(WorkerRemoved& removed) {
  if (Owns(removed.epoch)) HandleInput(std::move(removed.worker));
}

void DispatchDuty::On(WorkersConfirmed& confirmed) {
  if (Owns(confirmed.epoch)) {
    HandleInput(jobs::WorkerListConfirmed{confirmed.as_of});
  }
}

void DispatchDuty::On(JobsConfirmed& confirmed) {
  if (Owns(confirmed.epoch)) {
    HandleInput(jobs::JobRowsConfirmed{confirmed.as_of});
  }
}

void DispatchDuty::On(EvacuationsFound& found) {
  if (!Owns(found.epoch)) return;
  metrics_.Set(Gauge::kDataCentresEmptied,
               static_cast<double>(found.read.emptied.size()));
  HandleInput(std::move(found.read));
}

void DispatchDuty::On(LoadCompleted& completed) {
  if (!Owns(completed.epoch)) return;
  const TimePoint now = runtime::SteadyNow();
  dispatcher_->FinishLoading(now);
  metrics_.Observe(Timing::kTakeover, now - claimed_at_);
  log_.Log(Event::kCellRecovered,
           {{"cell", kCellPartition},
            {"epoch", completed.epoch.durable},
            {"took_ms", ToMilliseconds(now - claimed_at_)}});
  ScheduleDecision();
}

void DispatchDuty::On(OrderResult& result) {
  if (Owns(result.epoch)) HandleInput(std::move(result.ended));
}

void DispatchDuty::On(WriteCompleted& completed) {
  // The watch of the jobs shows which rows of expired jobs are deleted.
  if (!in_flight_ || in_flight_->number != completed.number) return;
  HandleOwnerWriteOutcome(completed.outcome);
}

void DispatchDuty::On(OwnerHeartbeatReceived& received) {
  ownership_.HandlePeerHeartbeat(received.instance, runtime::SteadyNow());
}

void DispatchDuty::On(ReleaseCell&) {
  ownership_.StopClaiming();
  release_requested_ = true;
  AdvanceOwnership();
}

void DispatchDuty::On(DispatcherSettingsChanged& changed) {
  settings_ = changed.settings;  // Used from the next epoch on.
}

void DispatchDuty::ScheduleTick() {
  tick_timer_.expires_after(dispatcher_ != nullptr ? kOwnerTickInterval
                                                   : kIdleTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    ScheduleTick();  // First: an error below must not be the last tick.
    Tick();
  });
}

void DispatchDuty::Tick() {
  ResignIfDue();
  AdvanceOwnership();
  if (dispatcher_ != nullptr) ScheduleDecision();
}

void DispatchDuty::ScheduleDecision() {
  if (std::exchange(decision_scheduled_, true)) return;
  // Also without a delay, messages that already wait are handled first, so that
  // one decision covers them all.
  decision_timer_.expires_after(pace_.DelayAt(runtime::SteadyNow()));
  decision_timer_.async_wait([this](const boost::system::error_code& error) {
    decision_scheduled_ = false;
    if (!error && dispatcher_ != nullptr) Decide();
  });
}

void DispatchDuty::Decide() {
  const TimePoint begun = runtime::SteadyNow();
  PerformEffects(
      dispatcher_->Decide(ownership_.AuthorityAt(begun), CurrentTime()));
  const TimePoint ended = runtime::SteadyNow();
  pace_.RecordDecision(begun, ended);
  metrics_.Observe(Timing::kDecision, ended - begun);
  // An effect may have ended the ownership.
  const jobs::PaceSummary paces =
      dispatcher_ == nullptr ? jobs::PaceSummary{} : dispatcher_->paces();
  metrics_.Set(Gauge::kKnownPaces, static_cast<double>(paces.known));
  metrics_.Set(Gauge::kPaceSpread, paces.spread);
}

void DispatchDuty::HandleInput(jobs::DispatcherInput input) {
  PerformEffects(dispatcher_->Handle(std::move(input), CurrentTime()));
  ScheduleDecision();
}

void DispatchDuty::PerformEffects(std::vector<jobs::DispatcherEffect> effects) {
  for (jobs::DispatcherEffect& effect : effects) {
    if (dispatcher_ == nullptr) return;  // An effect ended the ownership.
    std::visit([this](auto& alternative) { PerformEffect(alternative); },
               effect);
  }
}

void DispatchDuty::PerformEffect(jobs::SendOrder& order) {
  const TimePoint expires_at =
      std::min(order.send_by, ownership_.OrderExpiry(order.what));
  rings_.workers.Send(
      ForwardOrder{ownership_.epoch(), std::move(order), expires_at});
}

void DispatchDuty::PerformEffect(jobs::Commit& commit) {
  pending_commit_ = std::move(commit);
  SendNextCommit();
}

}  // namespace jasminespar::jobserver
