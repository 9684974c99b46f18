/// @file
/// Duty dispatch: claims and keeps the ownership of the cell, or watches its
/// owner, and runs the dispatcher of the owned epoch.

#ifndef JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_
#define JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "jasminespar/jobs/decision_pace.h"
#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/ownership.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only, unless stated otherwise.
class DispatchDuty {
 public:
  struct Rings {
    runtime::Channel<DispatchToStore>& store;
    runtime::Channel<ToWorkers>& workers;
    runtime::Channel<ToPeers>& peers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// @param memory_bytes memory of this instance; larger instances claim the
  ///     cell sooner.
  DispatchDuty(runtime::Duty& duty, InstanceId self, std::uint32_t memory_bytes,
               const jobs::DispatcherSettings& settings, const Rings& rings,
               telemetry::Metrics& metrics);

  void Start();
  void Handle(ToDispatch message);

  /// @return whether this instance owns the cell. Callable from any thread.
  [[nodiscard]] bool owns() const noexcept { return owns_; }

 private:
  /// A write of the owner row, with what is to change in the same transaction.
  struct OwnerWrite {
    enum class Kind : std::uint8_t { kClaim, kHeartbeat, kCommit, kRelease };
    Kind kind = Kind::kHeartbeat;
    std::uint64_t number = 0;  ///< Of the last WriteRows that carried it.
    jobs::OwnerRow row;        ///< The row's content once it succeeds.
    site::Transaction transaction;
    jobs::CommitNumber commit;  ///< Set when `kind` is kCommit.
    TimePoint sent_at;          ///< First attempt.
  };

  void On(ConfigurationUpdate& update);
  void On(CancellationFound& found);
  void On(CancellationDeleted& deleted);
  void On(OwnerUpdate& update);
  void On(OwnerAbsent&);
  void On(TableAnswered&);
  void On(JobUpdate& update);
  void On(JobRowRemoved& removed);
  void On(JobRowsRead& read);
  void On(QueueRecordFound& found);
  void On(EnrolledWorkerFound& found);
  void On(WorkerUpdate& update);
  void On(WorkerRemoved& removed);
  void On(WorkersConfirmed& confirmed);
  void On(JobsConfirmed& confirmed);
  void On(EvacuationsFound& found);
  void On(LoadCompleted& completed);
  void On(OrderResult& result);
  void On(WriteCompleted& completed);
  void On(OwnerHeartbeatReceived& received);
  void On(ReleaseCell&);
  void On(DispatcherSettingsChanged& changed);

  void ScheduleTick();
  /// Schedules one decision for all messages that arrive before it.
  void ScheduleDecision();
  void Tick();
  void Decide();
  /// Passes an input to the dispatcher, performs its effects, and schedules a
  /// decision.
  void HandleInput(jobs::DispatcherInput input);
  void PerformEffects(std::vector<jobs::DispatcherEffect> effects);
  void PerformEffect(jobs::SendOrder& order);
  void PerformEffect(jobs::Commit& commit);
  void PerformEffect(jobs::Decision& decision);
  void PerformEffect(jobs::RunConcluded& concluded);
  void PerformEffect(jobs::RunContradicted& contradicted);
  void PerformEffect(jobs::StageFailed& failure);
  void PerformEffect(jobs::ResignOwnership& resign);

  /// Claims, renews or releases the cell if that is due and no owner write is
  /// in flight.
  void AdvanceOwnership();
  /// Deletes the rows of these jobs in the jobs' own partitions.
  void DeleteJobRows(const std::vector<jobs::JobId>& jobs);
  /// Deletes the rows of these jobs in the cell's partition, with the next
  /// owner writes.
  void DeleteCellRows(const std::vector<jobs::ForgottenJob>& jobs);
  /// Adds the owner row, as condition and as write, and sends the transaction.
  void SendOwnerWrite(OwnerWrite write);
  [[nodiscard]] static site::Transaction EncodeCommit(
      const jobs::Commit& commit);
  void SendNextCommit();
  /// Sends the owner write in flight, for the first time or again.
  void SendInFlightWrite();
  void HandleOwnerWriteOutcome(const site::TableOutcome& outcome);
  void HandleOwnerWriteSuccess(jobs::RowVersion version);
  void HandleMalformedWrite();
  void RecordOwnerFrom(const site::Conflict& conflict);
  /// @param row that claimed the cell.
  void BeginEpoch(const jobs::OwnerRow& row);
  void StepDown();
  /// Gives the cell up if a stage has failed, but not too often.
  void ResignIfDue();
  /// @return the owner row's version when it is the result of the write in
  ///     flight; nothing otherwise.
  [[nodiscard]] std::optional<jobs::RowVersion> FindOwnVersion(
      const site::Conflict& conflict) const;
  [[nodiscard]] bool Owns(Epoch epoch) const {
    return dispatcher_ != nullptr && ownership_.epoch() == epoch;
  }

  runtime::Duty& duty_;
  InstanceId self_;
  jobs::DispatcherSettings settings_;
  Rings rings_;
  telemetry::Metrics& metrics_;
  EventLog log_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer decision_timer_;
  jobs::DecisionPace pace_;
  jobs::Ownership ownership_;
  std::unique_ptr<jobs::Dispatcher> dispatcher_;
  std::shared_ptr<const jobs::ConfigurationSnapshot> configuration_;
  std::optional<OwnerWrite> in_flight_;
  std::optional<jobs::Commit> pending_commit_;
  /// Rows in the cell's partition of jobs whose own rows are deleted.
  std::vector<site::RowKey> deletable_rows_;
  std::uint64_t last_write_ = 0;
  bool decision_scheduled_ = false;
  bool release_requested_ = false;
  TimePoint claimed_at_;
  std::optional<TimePoint> resigned_at_;  ///< Because a stage failed.
  bool stage_failed_ = false;             ///< In this epoch.
  std::atomic<bool> owns_{false};
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_
