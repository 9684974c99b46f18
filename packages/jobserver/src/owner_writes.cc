/// @file
/// Writes of the cell's owner: claims, heartbeats, commits and releases. Each
/// is conditional on the version of the owner row and changes that row, and at
/// most one is in flight.

#include <exception>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/jobserver/dispatch_duty.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_records.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

using telemetry::Counter;
using telemetry::Event;

namespace {

/// For all attempts of one WriteRows. After it the owner write is sent again
/// with the same owner row.
constexpr Duration kOwnerWriteTimeout = 2s;

/// Between two resignations of this instance because a stage failed: what fails
/// under every owner must not keep the cell without one.
constexpr Duration kResignInterval = 60s;

/// Long, because nothing waits for these deletes.
constexpr Duration kJobRowDeleteTimeout = 10s;

/// Rows of forgotten jobs in the cell's partition that one commit deletes. A
/// table accepts a hundred rows in one transaction; the rest are the rows of
/// the commit itself and the owner row, as a condition and as a write.
constexpr std::size_t kDeletableRowsPerCommit = 18;
static_assert(jobs::kMaxCommitRows + kDeletableRowsPerCommit + 2 <= 100);

}  // namespace

void DispatchDuty::AdvanceOwnership() {
  if (in_flight_) return;
  const TimePoint now = runtime::SteadyNow();
  if (release_requested_ && ownership_.owned()) {
    release_requested_ = false;
    OwnerWrite write;
    write.kind = OwnerWrite::Kind::kRelease;
    write.row = ownership_.ReleasedRow(now);
    SendOwnerWrite(std::move(write));
    return;
  }
  std::visit(Overloaded{
                 [](const jobs::Wait&) {},
                 [&](const jobs::ClaimCell& claim) {
                   OwnerWrite write;
                   write.kind = OwnerWrite::Kind::kClaim;
                   write.row = claim.row;
                   claimed_at_ = now;
                   SendOwnerWrite(std::move(write));
                 },
                 [&](const jobs::SendHeartbeat&) {
                   OwnerWrite write;
                   write.row = ownership_.RenewedRow(now);
                   SendOwnerWrite(std::move(write));
                 },
             },
             ownership_.Next(now));
}

site::Transaction DispatchDuty::EncodeCommit(const jobs::Commit& commit) {
  site::Transaction transaction;
  std::vector<site::Row>& rows = transaction.writes;
  for (const jobs::JobProgress& progress : commit.progress) {
    rows.push_back({ProgressRowKey(progress.job, progress.first_task),
                    protocol::Encode(progress),
                    {}});
  }
  for (const jobs::JobStatus& status : commit.statuses) {
    rows.push_back({CellRowKey(kStatusTable, status.job.value),
                    protocol::Encode(status),
                    {}});
  }
  for (const jobs::QueueRecord& record : commit.queues) {
    rows.push_back(
        {QueueRowKey(record.queue.name), protocol::Encode(record), {}});
  }
  for (const jobs::QueueId& queue : commit.unused_queues) {
    transaction.deletes.push_back(QueueRowKey(queue));
  }
  for (const jobs::WorkerEnrolled& worker : commit.enrolled) {
    rows.push_back({CellRowKey(kWorkerTable, worker.name.value),
                    protocol::Encode(worker),
                    {}});
  }
  for (const jobs::WorkerName& worker : commit.departed) {
    transaction.deletes.push_back(CellRowKey(kWorkerTable, worker.value));
  }
  return transaction;
}

void DispatchDuty::SendNextCommit() {
  if (in_flight_ || !pending_commit_) return;
  const jobs::Commit commit = *std::exchange(pending_commit_, std::nullopt);
  OwnerWrite write;
  write.kind = OwnerWrite::Kind::kCommit;
  write.commit = commit.commit;
  write.row = ownership_.RenewedRow(runtime::SteadyNow());
  try {
    write.transaction = EncodeCommit(commit);
  } catch (const std::exception& error) {
    // Unanswered, it would be the last one of this owner.
    log_.Log(Event::kInternalError,
             {{"duty", "dispatch"}, {"fault", error.what()}});
    HandleInput(jobs::CommitRejected{commit.commit});
    return;
  }
  DeleteCellRows(commit.forgotten);
  for (std::size_t i = 0;
       i < kDeletableRowsPerCommit && !deletable_rows_.empty(); ++i) {
    write.transaction.deletes.push_back(std::move(deletable_rows_.back()));
    deletable_rows_.pop_back();
  }
  DeleteJobRows(commit.expired);
  SendOwnerWrite(std::move(write));
}

void DispatchDuty::DeleteJobRows(const std::vector<jobs::JobId>& jobs) {
  for (const jobs::JobId& job : jobs) {
    WriteRows write;
    write.number = ++last_write_;
    write.timeout = kJobRowDeleteTimeout;
    write.transaction.deletes = {JobRowKey(kJobTable, job),
                                 JobRowKey(kStatusTable, job),
                                 CancellationKey(job)};
    rings_.store.Send(std::move(write));
  }
}

void DispatchDuty::DeleteCellRows(const std::vector<jobs::ForgottenJob>& jobs) {
  // Later than the job's own row: without its progress it would run again.
  for (const jobs::ForgottenJob& forgotten : jobs) {
    for (const std::uint32_t first_task : forgotten.progress_rows) {
      deletable_rows_.push_back(ProgressRowKey(forgotten.job, first_task));
    }
    deletable_rows_.push_back(CellRowKey(kStatusTable, forgotten.job.value));
  }
}

void DispatchDuty::SendOwnerWrite(OwnerWrite write) {
  // An attempt that the table carries out late fails its condition, because a
  // later write has changed the owner row.
  write.row.write = ++last_write_;
  write.transaction.conditions.push_back({OwnerRowKey(), ownership_.version()});
  write.transaction.writes.push_back(
      {OwnerRowKey(), protocol::Encode(write.row), {}});
  write.sent_at = runtime::SteadyNow();
  in_flight_ = std::move(write);
  SendInFlightWrite();
}

void DispatchDuty::SendInFlightWrite() {
  in_flight_->number = ++last_write_;
  rings_.store.Send(WriteRows{in_flight_->number, in_flight_->transaction,
                              kOwnerWriteTimeout});
}

std::optional<jobs::RowVersion> DispatchDuty::FindOwnVersion(
    const site::Conflict& conflict) const {
  for (const site::Row& row : conflict.current) {
    if (row.key != OwnerRowKey()) continue;
    try {
      const jobs::OwnerRow found = protocol::DecodeOwnerRow(row.value);
      if (found == in_flight_->row) return row.version;
    } catch (const Error&) {
      return std::nullopt;  // Not this instance's row; logged when it is read.
    }
  }
  return std::nullopt;
}

void DispatchDuty::RecordOwnerFrom(const site::Conflict& conflict) {
  for (const site::Row& row : conflict.current) {
    if (row.key != OwnerRowKey()) continue;
    try {
      ownership_.HandleOwnerRow(protocol::DecodeOwnerRow(row.value),
                                row.version, runtime::SteadyNow());
    } catch (const Error& error) {
      log_.Log(Event::kRowUnreadable, {{"table", row.key.table},
                                       {"key", row.key.key},
                                       {"fault", error.what()}});
    }
  }
}

void DispatchDuty::HandleOwnerWriteOutcome(const site::TableOutcome& outcome) {
  const TimePoint now = runtime::SteadyNow();
  if (const auto* committed = std::get_if<site::Committed>(&outcome)) {
    HandleOwnerWriteSuccess(committed->version);
    return;
  }
  if (const auto* conflict = std::get_if<site::Conflict>(&outcome)) {
    // An earlier attempt of this same write may have succeeded.
    if (const auto version = FindOwnVersion(*conflict)) {
      HandleOwnerWriteSuccess(*version);
      return;
    }
    const OwnerWrite::Kind kind = std::exchange(in_flight_, std::nullopt)->kind;
    if (kind == OwnerWrite::Kind::kClaim) {
      log_.Log(Event::kClaimConflict, {{"cell", kCellPartition}});
      ownership_.ClaimFailed(now);
      RecordOwnerFrom(*conflict);
    } else {
      ownership_.HandleOwnershipLost(now);
      StepDown();
    }
    return;
  }
  if (std::holds_alternative<site::Malformed>(outcome)) {
    HandleMalformedWrite();
    return;
  }
  const bool claim = in_flight_->kind == OwnerWrite::Kind::kClaim;
  const bool refused = std::holds_alternative<site::Refused>(outcome);
  if (claim && refused) {
    in_flight_.reset();
    ownership_.ClaimFailed(now);
    return;
  }
  log_.Log(Event::kCommitRepeated,
           {{"write", in_flight_->row.write},
            {"age_ms", ToMilliseconds(now - in_flight_->sent_at)}});
  SendInFlightWrite();
}

void DispatchDuty::HandleMalformedWrite() {
  // The table would reject it again.
  const OwnerWrite write = *std::exchange(in_flight_, std::nullopt);
  log_.Log(Event::kCommitMalformed,
           {{"write", write.row.write},
            {"writes", write.transaction.writes.size()},
            {"deletes", write.transaction.deletes.size()}});
  if (write.kind == OwnerWrite::Kind::kCommit && dispatcher_ != nullptr) {
    // Rows of forgotten jobs that it was to delete remain.
    HandleInput(jobs::CommitRejected{write.commit});
    return;
  }
  ownership_.HandleOwnershipLost(runtime::SteadyNow());
  StepDown();
}

void DispatchDuty::PerformEffect(jobs::ResignOwnership& resign) {
  if (resign.cause == jobs::ResignCause::kStageFailed) {
    stage_failed_ = true;
    ResignIfDue();
    return;
  }
  ownership_.HandleOwnershipLost(runtime::SteadyNow());
  StepDown();
}

void DispatchDuty::ResignIfDue() {
  const TimePoint now = runtime::SteadyNow();
  const bool too_soon = resigned_at_ && now - *resigned_at_ < kResignInterval;
  if (!stage_failed_ || too_soon) return;
  resigned_at_ = now;
  ownership_.HandleOwnershipLost(now);
  StepDown();
}

void DispatchDuty::HandleOwnerWriteSuccess(jobs::RowVersion version) {
  const OwnerWrite write = *std::exchange(in_flight_, std::nullopt);
  const TimePoint now = runtime::SteadyNow();
  switch (write.kind) {
    case OwnerWrite::Kind::kClaim:
      if (ownership_.ClaimSucceeded(write.row, version, write.sent_at, now)) {
        BeginEpoch(write.row);
      } else {
        log_.Log(Event::kClaimSuperseded,
                 {{"cell", kCellPartition},
                  {"epoch", write.row.epoch.durable},
                  {"row", version.value},
                  {"newest_row", ownership_.version().value},
                  {"owner", ownership_.row().owner.value},
                  {"age_ms", ToMilliseconds(now - write.sent_at)}});
      }
      return;
    case OwnerWrite::Kind::kRelease:
      log_.Log(Event::kHandoverFinished, {{"cell", kCellPartition}});
      ownership_.HandleOwnershipLost(now);
      StepDown();
      return;
    case OwnerWrite::Kind::kHeartbeat:
    case OwnerWrite::Kind::kCommit:
      ownership_.WriteSucceeded(write.row, version, write.sent_at);
      break;
  }
  if (write.kind == OwnerWrite::Kind::kCommit && dispatcher_ != nullptr) {
    HandleInput(jobs::CommitDone{write.commit});
  }
  if (release_requested_) {
    AdvanceOwnership();
  } else {
    SendNextCommit();
  }
}

void DispatchDuty::BeginEpoch(const jobs::OwnerRow& row) {
  metrics_.Count(Counter::kCellsClaimed);
  log_.Log(Event::kCellClaimed,
           {{"cell", kCellPartition},
            {"epoch", row.epoch.durable},
            {"others_renew_ms", ToMilliseconds(row.predecessors.renew)},
            {"others_start_ms", ToMilliseconds(row.predecessors.start)}});
  pending_commit_.reset();
  stage_failed_ = false;
  dispatcher_ = std::make_unique<jobs::Dispatcher>(settings_, row.epoch,
                                                   row.predecessors);
  owns_ = true;
  rings_.peers.Send(CellOwned{true});
  if (configuration_ != nullptr) {
    HandleInput(jobs::ConfigurationChanged{configuration_});
  }
  rings_.store.Send(BeginOwnership{row.epoch, settings_.evacuate_within});
}

void DispatchDuty::StepDown() {
  if (dispatcher_ == nullptr) return;
  metrics_.Count(Counter::kCellsLost);
  log_.Log(Event::kCellLost, {{"cell", kCellPartition},
                              {"epoch", ownership_.epoch().durable},
                              {"owner", ownership_.row().owner.value}});
  metrics_.Set(telemetry::Gauge::kDataCentresEmptied, 0);
  dispatcher_.reset();
  pending_commit_.reset();
  in_flight_.reset();
  deletable_rows_.clear();
  owns_ = false;
  rings_.peers.Send(CellOwned{false});
  rings_.store.Send(EndOwnership{});
}

}  // namespace jasminespar::jobserver
