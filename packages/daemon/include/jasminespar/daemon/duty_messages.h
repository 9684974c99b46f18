/// @file
/// Messages between the duties of an instance that serves calls. The variant at
/// the end of each section is the message type of the rings to that duty.
///
/// Ring graph (producer -> consumer):
///
///     caller_front  -> cell_decider, peer_link, platform_link, telemetry
///     cell_decider  -> caller_front, peer_link, endpoint_link, platform_link
///     endpoint_link -> cell_decider, peer_link
///     peer_link     -> caller_front, cell_decider, endpoint_link,
///                      platform_link
///     platform_link -> caller_front, cell_decider, peer_link
///     telemetry     -> caller_front

#ifndef JASMINESPAR_DAEMON_DUTY_MESSAGES_H_
#define JASMINESPAR_DAEMON_DUTY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/cell/cell.h"
#include "jasminespar/cell/messages.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/membership/heartbeat.h"
#include "jasminespar/membership/member_table.h"
#include "jasminespar/membership/ownership.h"
#include "jasminespar/protocol/peer_message.h"

namespace jasminespar::daemon {

/// All cells of the site, shared read-only between duties.
using CellsPtr =
    std::shared_ptr<const std::vector<configuration::CellTopology>>;
using ConfigurationPtr = std::shared_ptr<const configuration::Configuration>;
using ViewPtr = std::shared_ptr<const membership::View>;

/// The site's cells or their workers have changed.
struct CellsUpdate {
  CellsPtr cells;
};
/// A newer configuration is in force.
struct ConfigurationUpdate {
  ConfigurationPtr configuration;
};

// To cell_decider.

/// An input for an owned cell. If the cell is not owned, or not under `epoch`
/// when that is set, the input is refused, or ignored when it expects no reply.
struct CellInput {
  CellId cell;
  std::optional<Epoch> epoch;
  cell::Input input;
};
/// This instance claimed the cell and has read its state.
struct CellClaimed {
  CellId cell;
  Epoch epoch;
  cell::RecoveredState recovered;
};
/// The cell is no longer owned under `epoch`: a higher epoch exists, or the
/// cell was released.
struct CellLost {
  CellId cell;
  Epoch epoch;
  Reason reason = Reason::kStaleEpoch;
};
/// Hand the cell over to its next owner.
struct HandOverCell {
  CellId cell;
};
/// Whether the platform's store is reachable.
struct StoreAvailable {
  bool available = true;
};
/// The journal of the cell needs a snapshot; answered by SnapshotTaken.
struct SnapshotRequested {
  CellId cell;
  Epoch epoch;
};
using ToDecider = std::variant<CellInput, CellClaimed, CellLost, HandOverCell,
                               SnapshotRequested, StoreAvailable, CellsUpdate,
                               ConfigurationUpdate>;

// To caller_front.

/// Reply to a call that this instance's front sent.
struct CallReplied {
  std::uint64_t number = 0;  ///< Chosen by the front.
  cell::CallReply reply;
};
/// The members or the owners of cells may have changed.
struct ViewUpdate {
  ViewPtr view;
};
/// Response to a NoteSubmitted or NoteListRequested.
struct NoteResponse {
  std::uint64_t number = 0;  ///< Of the request.
  int http_status = 200;
  std::string json;
  std::optional<Reason> refused;  ///< For the metrics.
};
/// Response to a MetricsRequested.
struct MetricsRendered {
  std::uint64_t number = 0;  ///< Of the request.
  std::string text;
};
/// The instance shuts down: the front reports itself not ready and closes the
/// listener once the load balancer has had time to notice.
struct DrainFront {};
using ToFront =
    std::variant<CallReplied, ViewUpdate, NoteResponse, MetricsRendered,
                 CellsUpdate, ConfigurationUpdate, DrainFront>;

// To endpoint_link.

using TaskEffect = std::variant<cell::OrderTask, cell::ReleaseTask,
                                cell::StopTask, cell::ForgetTask>;
/// An order, release, stop or forget for the task's worker.
struct TaskRequested {
  CellId cell;
  Epoch epoch;
  TaskEffect effect;
};
/// This instance owns the cell: read the reports of its workers.
struct BeginOwnership {
  Epoch epoch;
  configuration::CellTopology topology;
};
/// This instance no longer owns the cell: stop reading reports.
struct EndOwnership {
  CellId cell;
};
/// The workers of an owned cell may have changed.
struct CellTopologyUpdate {
  configuration::CellTopology topology;
};
/// Requests a report from every worker of the cell under that epoch, which
/// grants the lease; each worker that answers gives a LeaseResult.
struct LeasesRequested {
  Epoch epoch;
  configuration::CellTopology topology;
};
using ToEndpoint = std::variant<TaskRequested, BeginOwnership, EndOwnership,
                                CellTopologyUpdate, LeasesRequested>;

// To platform_link.

/// A record to write to the cell's journal.
struct JournalAppendRequested {
  CellId cell;
  Epoch epoch;
  cell::AppendJournal append;
};
/// A snapshot that covers every JournalAppendRequested sent before it.
struct SnapshotTaken {
  CellId cell;
  Epoch epoch;
  std::vector<cell::JournalRecord> records;
};
/// The cell has become quiescent for its handover: write the rest of its
/// journal; answered by HandoverFinished.
struct JournalFinishRequested {
  CellId cell;
  Epoch epoch;
};
/// Requests of the ownership planner to the store.
using OwnershipStoreAction =
    std::variant<membership::ReadRow, membership::ClaimCell,
                 membership::ReleaseCell>;
/// Answered by an OwnershipEvent.
struct OwnershipRequested {
  OwnershipStoreAction action;
};
/// The cell is no longer owned under `epoch`: write nothing more to its
/// journal.
struct JournalCloseRequested {
  CellId cell;
  Epoch epoch;
};
/// A release note of an operator; answered by NoteResponse.
struct NoteSubmitted {
  std::uint64_t number = 0;  ///< Chosen by the front.
  std::string text;
  bool check_only = false;
};
/// Requests the notes above `after`; answered by NoteResponse.
struct NoteListRequested {
  std::uint64_t number = 0;  ///< Chosen by the front.
  Revision after;
};
/// Release notes or a configuration from a peer.
struct NotesReceived {
  protocol::Notes notes;
};
/// A peer requests the notes above `after`; answered by PeerNotesFound.
struct PeerNotesRequested {
  std::uint64_t connection = 0;  ///< Of the peer.
  Revision after;
};
/// Workers from a peer; used until the platform's list is read.
struct WorkersReceived {
  std::vector<configuration::Worker> workers;
};
/// The number of cells with an owner, over which the write budget is divided.
struct OwnerCountUpdate {
  std::uint32_t owner_count = 1;
};
using ToPlatform =
    std::variant<JournalAppendRequested, SnapshotTaken, JournalFinishRequested,
                 OwnershipRequested, JournalCloseRequested, NoteSubmitted,
                 NoteListRequested, NotesReceived, PeerNotesRequested,
                 WorkersReceived, OwnerCountUpdate>;

// To peer_link.

/// A call for a cell that another instance owns; answered by CallReplied.
struct CallForwarded {
  InstanceId owner;
  protocol::ForwardedCall call;
};
/// The front no longer waits for the reply to a CallForwarded.
struct ForwardAbandoned {
  InstanceId owner;
  std::uint64_t number = 0;
};
/// Reply to a call that a peer forwarded to this instance.
struct ForwardedCallReplied {
  cell::ReplyToken token;
  cell::CallReply reply;
};
/// The owned cells and their load, to be sent with each heartbeat.
struct OwnedCellsUpdate {
  std::vector<membership::OwnedCell> cells;
};
/// The platform's list of instances, after each successful poll.
struct InstanceListReceived {
  std::vector<membership::ListedInstance> instances;
};
// The next five are results of an OwnershipRequested.

struct OwnershipRowRead {
  CellId cell;
  membership::VersionedRow row;
};
struct OwnershipWriteCommitted {
  CellId cell;
  std::uint64_t version = 0;
};
/// The row had another version than expected; nothing was written.
struct OwnershipWriteConflicted {
  CellId cell;
  membership::VersionedRow present;  ///< As read after the conflict.
};
/// The write may or may not have taken effect.
struct OwnershipWriteUnknown {
  CellId cell;
};
/// The read or write had no effect.
struct OwnershipRequestFailed {
  CellId cell;
};
/// A journal write was refused because the cell has a higher epoch.
struct JournalFenced {
  CellId cell;
};
/// The journal of the cell that is handed over is durable.
struct HandoverFinished {
  CellId cell;
};
using OwnershipEvent =
    std::variant<OwnershipRowRead, OwnershipWriteCommitted,
                 OwnershipWriteConflicted, OwnershipWriteUnknown,
                 OwnershipRequestFailed, JournalFenced, HandoverFinished>;
/// Response to a PeerNotesRequested.
struct PeerNotesFound {
  std::uint64_t connection = 0;  ///< Of the request.
  protocol::Notes notes;
};
/// A worker's answer to LeasesRequested; none if the worker is unreachable.
struct LeaseResult {
  CellId cell;
  Epoch epoch;
  WorkerId worker;
  bool granted = false;
  Epoch highest;  ///< Known to a worker that refused.
};
/// The instance shuts down: heartbeats announce it, and its cells are handed
/// over once another instance of the data centre is live, or once
/// `no_pending_requests` is set.
struct LeaveSite {
  bool no_pending_requests = false;  ///< Every caller here has its response.
};
using ToPeer =
    std::variant<CallForwarded, ForwardAbandoned, ForwardedCallReplied,
                 OwnedCellsUpdate, InstanceListReceived, OwnershipEvent,
                 PeerNotesFound, CellsUpdate, ConfigurationUpdate, LeaseResult,
                 LeaveSite>;

/// @return the cell's input for an operation whose reply goes to `token`.
[[nodiscard]] cell::Input ToInput(cell::ReplyToken token, protocol::CallOp op);

// To telemetry.

/// Requests the metrics as text; answered by MetricsRendered.
struct MetricsRequested {
  std::uint64_t number = 0;  ///< Chosen by the front.
};
using ToTelemetry = std::variant<MetricsRequested>;

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_DUTY_MESSAGES_H_
