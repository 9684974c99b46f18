/// @file
/// Writes of the cell's owner: claim, sign of life, commits, release. Each is
/// conditional on the owner's row and changes it, and they go one by one.

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

/// All attempts of one write; it is then sent again under the same number.
constexpr Duration kOwnerWriteSpan = 2s;

/// Nothing waits for the rows of forgotten jobs to go.
constexpr Duration kForgetSpan = 10s;

/// Forgotten jobs whose two rows in the cell's part one commit deletes. A table
/// takes a hundred rows in one transaction: the others are the commit's own and
/// the owner's, as a condition and as a write.
constexpr std::size_t kForgettablePerCommit = 9;
static_assert(jobs::kMaxCommitRows + 2 * kForgettablePerCommit + 2 <= 100);

/// Replaced by the number of the write when it is sent.
constexpr std::uint64_t kNoWrite = 0;

}  // namespace

void DispatchDuty::FollowOwnership() {
  if (in_flight_) return;
  const TimePoint now = runtime::SteadyNow();
  if (release_wanted_ && ownership_.owned()) {
    release_wanted_ = false;
    OwnerWrite write;
    write.kind = OwnerWrite::Kind::kRelease;
    write.row = {InstanceId{}, ownership_.epoch(), kNoWrite};
    SendOwnerWrite(std::move(write));
    return;
  }
  std::visit(Overloaded{
                 [](const jobs::Wait&) {},
                 [&](const jobs::ClaimCell& claim) {
                   OwnerWrite write;
                   write.kind = OwnerWrite::Kind::kClaim;
                   write.row = {self_, claim.epoch, kNoWrite};
                   claimed_at_ = now;
                   SendOwnerWrite(std::move(write));
                 },
                 [&](const jobs::SendHeartbeat&) {
                   OwnerWrite write;
                   write.row = {self_, ownership_.epoch(), kNoWrite};
                   SendOwnerWrite(std::move(write));
                 },
             },
             ownership_.Next(now));
}

void DispatchDuty::SendNextCommit() {
  if (in_flight_ || !waiting_commit_) return;
  const jobs::Commit commit = *std::exchange(waiting_commit_, std::nullopt);
  OwnerWrite write;
  write.kind = OwnerWrite::Kind::kCommit;
  write.commit = commit.commit;
  write.row = {self_, ownership_.epoch(), kNoWrite};
  std::vector<site::Row>& rows = write.transaction.writes;
  for (const jobs::JobProgress& progress : commit.progress) {
    rows.push_back({CellRow(kProgressTable, progress.job.value),
                    protocol::Encode(progress),
                    {}});
  }
  for (const jobs::JobStatus& status : commit.statuses) {
    rows.push_back({CellRow(kStatusTable, status.job.value),
                    protocol::Encode(status),
                    {}});
  }
  for (const jobs::WorkerEnrolled& worker : commit.enrolled) {
    rows.push_back({CellRow(kWorkerTable, worker.name.value),
                    protocol::Encode(worker),
                    {}});
  }
  for (const jobs::WorkerName& worker : commit.departed) {
    write.transaction.deletes.push_back(CellRow(kWorkerTable, worker.value));
  }
  for (std::size_t i = 0; i < kForgettablePerCommit && !forgettable_.empty();
       ++i) {
    const jobs::JobId job = std::move(forgettable_.back());
    forgettable_.pop_back();
    std::vector<site::RowKey>& deletes = write.transaction.deletes;
    deletes.push_back(CellRow(kProgressTable, job.value));
    deletes.push_back(CellRow(kStatusTable, job.value));
  }
  ForgetJobRows(commit.forgotten);
  SendOwnerWrite(std::move(write));
}

void DispatchDuty::ForgetJobRows(const std::vector<jobs::JobId>& jobs) {
  // A job without its progress would run again, so its own rows go first.
  for (const jobs::JobId& job : jobs) {
    WriteRows write;
    write.number = ++last_write_;
    write.span = kForgetSpan;
    write.transaction.deletes = {JobRow(kJobTable, job),
                                 JobRow(kStatusTable, job),
                                 CancellationKey(job)};
    forgetting_.emplace(write.number, job);
    rings_.store.Send(std::move(write));
  }
}

void DispatchDuty::SendOwnerWrite(OwnerWrite write) {
  // A write that is carried out late finds the row changed, and does nothing.
  write.row.write = ++last_write_;
  write.transaction.conditions.push_back({OwnerRowKey(), ownership_.version()});
  write.transaction.writes.push_back(
      {OwnerRowKey(), protocol::Encode(write.row), {}});
  write.sent_at = runtime::SteadyNow();
  in_flight_ = std::move(write);
  Transmit();
}

void DispatchDuty::Transmit() {
  in_flight_->number = ++last_write_;
  rings_.store.Send(
      WriteRows{in_flight_->number, in_flight_->transaction, kOwnerWriteSpan});
}

std::optional<jobs::RowVersion> DispatchDuty::OwnVersionIn(
    const site::Conflict& conflict) const {
  for (const site::Row& row : conflict.current) {
    if (row.key != OwnerRowKey()) continue;
    try {
      const jobs::OwnerRow found = protocol::DecodeOwnerRow(row.value);
      if (found == in_flight_->row) return row.version;
    } catch (const Error&) {
      return std::nullopt;  // Another's row, then; it is logged when read.
    }
  }
  return std::nullopt;
}

void DispatchDuty::SeeOwnerIn(const site::Conflict& conflict) {
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

void DispatchDuty::OwnerWriteEnded(const site::TableOutcome& outcome) {
  const TimePoint now = runtime::SteadyNow();
  if (const auto* committed = std::get_if<site::Committed>(&outcome)) {
    Won(committed->version);
    return;
  }
  if (const auto* conflict = std::get_if<site::Conflict>(&outcome)) {
    // An earlier sending of this very write may have been carried out.
    if (const auto version = OwnVersionIn(*conflict)) {
      Won(*version);
      return;
    }
    const OwnerWrite::Kind kind = std::exchange(in_flight_, std::nullopt)->kind;
    if (kind == OwnerWrite::Kind::kClaim) {
      log_.Log(Event::kClaimConflict, {{"cell", kCellPart}});
      ownership_.ClaimFailed(now);
      SeeOwnerIn(*conflict);
    } else {
      ownership_.HandleOwnershipLost(now);
      StepDown();
    }
    return;
  }
  if (std::holds_alternative<site::Malformed>(outcome)) {
    // Sending it again will not help: a later owner starts afresh.
    log_.Log(Event::kCommitMalformed,
             {{"write", in_flight_->row.write},
              {"writes", in_flight_->transaction.writes.size()},
              {"deletes", in_flight_->transaction.deletes.size()}});
    ownership_.HandleOwnershipLost(now);
    StepDown();
    in_flight_.reset();
    return;
  }
  const bool claim = in_flight_->kind == OwnerWrite::Kind::kClaim;
  const bool turned_away = std::holds_alternative<site::TurnedAway>(outcome);
  if (claim && turned_away) {
    in_flight_.reset();
    ownership_.ClaimFailed(now);
    return;
  }
  log_.Log(Event::kCommitRepeated,
           {{"write", in_flight_->row.write},
            {"age_ms", ToMilliseconds(now - in_flight_->sent_at)}});
  Transmit();
}

void DispatchDuty::Won(jobs::RowVersion version) {
  const OwnerWrite write = *std::exchange(in_flight_, std::nullopt);
  const TimePoint now = runtime::SteadyNow();
  switch (write.kind) {
    case OwnerWrite::Kind::kClaim:
      ownership_.ClaimSucceeded(write.row, version, write.sent_at, now);
      BeginEpoch(write.row.epoch);
      return;
    case OwnerWrite::Kind::kRelease:
      log_.Log(Event::kHandoverFinished, {{"cell", kCellPart}});
      ownership_.HandleOwnershipLost(now);
      StepDown();
      return;
    case OwnerWrite::Kind::kBeat:
    case OwnerWrite::Kind::kCommit:
      ownership_.WriteSucceeded(write.row, version, write.sent_at);
      break;
  }
  if (write.kind == OwnerWrite::Kind::kCommit && dispatcher_ != nullptr) {
    Feed(jobs::CommitDone{write.commit});
  }
  if (release_wanted_) {
    FollowOwnership();
  } else {
    SendNextCommit();
  }
}

void DispatchDuty::BeginEpoch(Epoch epoch) {
  metrics_.Count(Counter::kCellsClaimed);
  log_.Log(Event::kCellClaimed,
           {{"cell", kCellPart}, {"epoch", epoch.durable}});
  waiting_commit_.reset();
  dispatcher_ = std::make_unique<jobs::Dispatcher>(settings_, epoch);
  owns_ = true;
  if (configuration_ != nullptr) {
    Feed(jobs::ConfigurationChanged{configuration_});
  }
  rings_.store.Send(BeginOwning{epoch});
}

void DispatchDuty::StepDown() {
  if (dispatcher_ == nullptr) return;
  metrics_.Count(Counter::kCellsLost);
  log_.Log(Event::kCellLost, {{"cell", kCellPart},
                              {"epoch", ownership_.epoch().durable},
                              {"owner", ownership_.row().owner.value}});
  dispatcher_.reset();
  waiting_commit_.reset();
  in_flight_.reset();
  forgetting_.clear();
  forgettable_.clear();
  owns_ = false;
  rings_.store.Send(EndOwning{});
}

}  // namespace jasminespar::jobserver
