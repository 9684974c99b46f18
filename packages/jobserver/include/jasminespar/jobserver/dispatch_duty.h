/// @file
/// Duty dispatch: owns the cell, or watches who does, and drives the
/// dispatcher of the owned epoch.

#ifndef JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_
#define JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "jasminespar/jobs/dispatcher.h"
#include "jasminespar/jobs/ownership.h"
#include "jasminespar/jobserver/event_log.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only, but for what is said otherwise.
class DispatchDuty {
 public:
  struct Rings {
    runtime::Channel<DispatchToStore>& store;
    runtime::Channel<ToWorkers>& workers;
    runtime::Channel<ToTelemetry>& telemetry;
  };

  /// @param memory_bytes of this instance; larger ones claim sooner.
  DispatchDuty(runtime::Duty& duty, InstanceId self, std::uint32_t memory_bytes,
               const jobs::DispatcherSettings& settings, const Rings& rings,
               telemetry::Metrics& metrics);

  void Start();
  void Handle(ToDispatch message);

  /// @return whether this instance owns the cell. From any thread.
  [[nodiscard]] bool owns() const noexcept { return owns_; }

 private:
  /// What a write of the owner row is for.
  struct OwnerWrite {
    enum class Kind : std::uint8_t { kClaim, kBeat, kCommit, kRelease };
    Kind kind = Kind::kBeat;
    std::uint64_t number = 0;
    jobs::OwnerRow row;  ///< As it stands when the write succeeds.
    site::Transaction transaction;
    jobs::CommitNumber commit;
    TimePoint sent_at;
  };

  void On(ConfigurationSeen& seen);
  void On(CancellationSeen& seen);
  void On(OwnerSeen& seen);
  void On(OwnerAbsent&);
  void On(TableSeen&);
  void On(JobSeen& seen);
  void On(EnrolledSeen& seen);
  void On(WorkerSeen& seen);
  void On(WorkerGone& gone);
  void On(LoadFinished& finished);
  void On(OrderReturned& returned);
  void On(WriteEnded& ended);
  void On(PeerHeard& heard);
  void On(LeaveCell&);
  void On(DispatcherSettingsChanged& changed);

  void ScheduleTick();
  void ScheduleDecision();
  void Tick();
  void Decide();
  void Feed(jobs::DispatcherInput input);
  void Perform(std::vector<jobs::DispatcherEffect> effects);
  void PerformEffect(jobs::SendOrder& order);
  void PerformEffect(jobs::Commit& commit);
  void PerformEffect(jobs::Decision& decision);

  void FollowOwnership();
  void ForgetJobRows(const std::vector<jobs::JobId>& jobs);
  void SendOwnerWrite(OwnerWrite write);
  void SendNextCommit();
  void Transmit();
  void OwnerWriteEnded(const site::TableOutcome& outcome);
  void Won(jobs::RowVersion version);
  void SeeOwnerIn(const site::Conflict& conflict);
  void BeginEpoch(Epoch epoch);
  void StepDown();
  [[nodiscard]] std::optional<jobs::RowVersion> OwnVersionIn(
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
  jobs::Ownership ownership_;
  std::unique_ptr<jobs::Dispatcher> dispatcher_;
  std::shared_ptr<const jobs::SiteConfiguration> configuration_;
  std::optional<OwnerWrite> in_flight_;
  std::optional<jobs::Commit> waiting_commit_;
  std::map<std::uint64_t, jobs::JobId> forgetting_;  ///< By write.
  std::vector<jobs::JobId> forgettable_;  ///< Their own rows are gone.
  std::uint64_t last_write_ = 0;
  bool decision_scheduled_ = false;
  bool release_wanted_ = false;
  TimePoint claimed_at_;
  std::atomic<bool> owns_{false};
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_DISPATCH_DUTY_H_
