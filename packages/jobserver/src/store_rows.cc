/// @file
/// Rows of the watched tables, decoded into messages to other duties.

#include <utility>
#include <variant>

#include "jasminespar/core/error.h"
#include "jasminespar/jobserver/store_link.h"
#include "jasminespar/jobserver/table_layout.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/protocol/job_records.h"

namespace jasminespar::jobserver {

using telemetry::Event;

void StoreLink::HandleStatusRow(const site::Row& row) {
  if (row.key.key.starts_with(kCancellationPrefix)) {
    const std::string job = row.key.key.substr(kCancellationPrefix.size());
    if (row.deleted) {
      cancelled_.erase(job);
      SendCancellationDeleted(job);
      return;
    }
    if (!cancelled_.insert(job).second) return;
    rings_.front.Send(CancellationFound{{job}});
    rings_.dispatch.Send(CancellationFound{{job}});
    return;
  }
  if (row.deleted) {
    // The row in the owner's partition is deleted last.
    if (row.key.partition == kCellPartition) {
      rings_.front.Send(StatusDeleted{{row.key.key}});
    }
    return;
  }
  try {
    rings_.front.Send(StatusUpdate{protocol::DecodeJobStatus(row.value)});
  } catch (const Error& error) {
    LogUnreadableRow(row, error.what());
  }
}

void StoreLink::HandleOwnerRow(const site::Row& row) {
  if (row.key.key != kOwnerKey || row.deleted) return;
  try {
    rings_.dispatch.Send(
        OwnerUpdate{protocol::DecodeOwnerRow(row.value), row.version});
  } catch (const Error& error) {
    LogUnreadableRow(row, error.what());
  }
}

void StoreLink::HandleMemberRow(const site::Row& row) {
  if (row.deleted) {
    members_.erase(row.key.key);
    return;
  }
  try {
    protocol::MemberRow member = protocol::DecodeMemberRow(row.value);
    members_.insert(row.key.key);
    rings_.peers.Send(
        MemberAddress{std::move(member.instance), std::move(member.address)});
  } catch (const Error& error) {
    LogUnreadableRow(row, error.what());
  }
}

void StoreLink::SendCancellationDeleted(const std::string& job) {
  rings_.front.Send(CancellationDeleted{{job}});
  rings_.dispatch.Send(CancellationDeleted{{job}});
}

void StoreLink::HandleJobRow(const site::Row& row, Epoch epoch) {
  if (row.deleted) {
    rings_.dispatch.Send(JobRowRemoved{epoch, {{row.key.key}}});
    return;
  }
  try {
    JobUpdate update{epoch, protocol::DecodeAcceptedJob(row.value), {}};
    const auto progress = loaded_progress_.find(update.job.id);
    if (progress != loaded_progress_.end()) update.progress = progress->second;
    rings_.dispatch.Send(std::move(update));
  } catch (const Error& error) {
    LogUnreadableRow(row, error.what());
  }
}

void StoreLink::HandleWorkerRow(const site::Row& row, Epoch epoch) {
  if (row.deleted) {
    RemoveWorker(row.key.key, jobs::UnlistedCause::kDeleted, epoch);
    return;
  }
  auto decoded = codec_.operators.decode_worker(row);
  if (const auto* error = std::get_if<site::DecodeError>(&decoded)) {
    RemoveWorker(row.key.key, jobs::UnlistedCause::kUnreadable, epoch);
    LogUnreadableRow(row, error->message);
    return;
  }
  listed_workers_.insert(row.key.key);
  rings_.dispatch.Send(
      WorkerUpdate{epoch, std::move(std::get<jobs::WorkerEntry>(decoded))});
}

void StoreLink::RemoveWorker(const std::string& name, jobs::UnlistedCause cause,
                             Epoch epoch) {
  if (listed_workers_.erase(name) == 0) return;
  rings_.dispatch.Send(WorkerRemoved{epoch, {{name}, cause}});
}

void StoreLink::LogUnreadableRow(const site::Row& row,
                                 const std::string& error) {
  log_.Log(Event::kRowUnreadable, {{"table", row.key.table},
                                   {"key", row.key.key},
                                   {"version", row.version.value},
                                   {"fault", error}});
}

}  // namespace jasminespar::jobserver
