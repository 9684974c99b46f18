/// @file
/// Messages on the rings between duties. One variant for each consumer.
///
/// Ring graph (producer -> consumer):
///
///     caller_front  -> cell_decider, peer_link, platform_link, telemetry
///     cell_decider  -> caller_front, peer_link, endpoint_link, platform_link
///     endpoint_link -> cell_decider, peer_link
///     peer_link     -> caller_front, cell_decider, endpoint_link,
///     platform_link platform_link -> caller_front, cell_decider, peer_link
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

/// All cells of the site by id, shared read-only between duties.
using CellsPtr =
    std::shared_ptr<const std::vector<configuration::CellTopology>>;
using ConfigurationPtr = std::shared_ptr<const configuration::Configuration>;
using ViewPtr = std::shared_ptr<const membership::View>;

struct CellsUpdate {
  CellsPtr cells;
};
struct ConfigurationUpdate {
  ConfigurationPtr configuration;
};

// To cell_decider.

/// An input for an owned cell. With `epoch` it is meant for that ownership
/// only and is dropped for any other.
struct CellInput {
  CellId cell;
  std::optional<Epoch> epoch;
  cell::Input input;
};
/// This instance won the cell and read its state.
struct CellClaimed {
  CellId cell;
  Epoch epoch;
  cell::RecoveredState recovered;
};
/// The cell is no longer owned: replaced by a higher epoch, or given back.
struct CellLost {
  CellId cell;
  Epoch epoch;
  Reason reason = Reason::kStaleEpoch;
};
/// Hand the cell over to whoever claims it next.
struct HandOverCell {
  CellId cell;
};
/// Whether the platform's store answers this instance.
struct StoreAvailable {
  bool available = true;
};
/// The journal of the cell wants a snapshot.
struct SnapshotRequested {
  CellId cell;
  Epoch epoch;
};
using ToDecider = std::variant<CellInput, CellClaimed, CellLost, HandOverCell,
                               SnapshotRequested, StoreAvailable, CellsUpdate,
                               ConfigurationUpdate>;

// To caller_front.

struct CallReplied {
  std::uint64_t number = 0;
  cell::CallReply reply;
};
struct ViewUpdate {
  ViewPtr view;
};
/// What became of a release note.
struct NoteResponse {
  std::uint64_t number = 0;
  int http_status = 200;
  std::string json;
  std::optional<Reason> refused;  ///< For the counters.
};
struct MetricsRendered {
  std::uint64_t number = 0;
  std::string text;
};
/// Readiness turns false; the listener closes after the balancer's delay.
struct DrainFront {};
using ToFront =
    std::variant<CallReplied, ViewUpdate, NoteResponse, MetricsRendered,
                 CellsUpdate, ConfigurationUpdate, DrainFront>;

// To endpoint_link.

using TaskEffect = std::variant<cell::OrderTask, cell::ReleaseTask,
                                cell::StopTask, cell::ForgetTask>;
struct TaskRequested {
  CellId cell;
  Epoch epoch;
  TaskEffect effect;
};
/// Starts reports from the workers of the cell.
struct BeginOwnership {
  Epoch epoch;
  configuration::CellTopology topology;
};
struct EndOwnership {
  CellId cell;
};
struct CellTopologyUpdate {
  configuration::CellTopology topology;
};
/// Asks every worker of the cell for its report under that epoch, which gives
/// the cell's lease; answered by LeaseResult.
struct LeasesRequested {
  Epoch epoch;
  configuration::CellTopology topology;
};
using ToEndpoint = std::variant<TaskRequested, BeginOwnership, EndOwnership,
                                CellTopologyUpdate, LeasesRequested>;

// To platform_link.

struct JournalAppendRequested {
  CellId cell;
  Epoch epoch;
  cell::AppendJournal append;
};
/// Covers every record appended before it on the same ring.
struct SnapshotTaken {
  CellId cell;
  Epoch epoch;
  std::vector<cell::JournalRecord> records;
};
/// The handover is done: make the journal durable, then give the row back.
struct JournalFinishRequested {
  CellId cell;
  Epoch epoch;
};
/// What the ownership planner wants of the store.
using OwnershipStoreAction =
    std::variant<membership::ReadRow, membership::ClaimCell,
                 membership::ReleaseCell>;
struct OwnershipRequested {
  OwnershipStoreAction action;
};
/// The cell has a higher epoch elsewhere: write nothing more for it.
struct JournalCloseRequested {
  CellId cell;
  Epoch epoch;
};
struct NoteSubmitted {
  std::uint64_t number = 0;
  std::string text;
  bool check_only = false;
};
struct NoteListRequested {
  std::uint64_t number = 0;
  Revision after;
};
/// Release notes that a peer sent.
struct NotesReceived {
  protocol::Notes notes;
};
/// A peer asks for notes; answered through peer_link.
struct PeerNotesRequested {
  std::uint64_t connection = 0;
  Revision after;
};
/// Workers that a peer knows; used until the platform's list is read.
struct WorkersReceived {
  std::vector<configuration::Worker> workers;
};
/// The number of owners this instance knows: its divisor of the write budget.
struct OwnerCountUpdate {
  std::uint32_t owner_count = 1;
};
using ToPlatform =
    std::variant<JournalAppendRequested, SnapshotTaken, JournalFinishRequested,
                 OwnershipRequested, JournalCloseRequested, NoteSubmitted,
                 NoteListRequested, NotesReceived, PeerNotesRequested,
                 WorkersReceived, OwnerCountUpdate>;

// To peer_link.

struct CallForwarded {
  InstanceId owner;
  protocol::ForwardedCall call;
};
struct ForwardAbandoned {
  InstanceId owner;
  std::uint64_t number = 0;
};
/// The decider's reply to a call that came over a peer connection.
struct ForwardedCallReplied {
  cell::ReplyToken token;
  cell::CallReply reply;
};
/// What this instance's heartbeats say of its cells.
struct OwnedCellsUpdate {
  std::vector<membership::OwnedCell> cells;
};
struct InstanceListReceived {
  std::vector<membership::ListedInstance> instances;
};
// Answers to OwnershipStoreAction.
struct OwnershipRowRead {
  CellId cell;
  membership::VersionedRow row;
};
struct OwnershipWriteCommitted {
  CellId cell;
  std::uint64_t version = 0;
};
struct OwnershipWriteConflicted {
  CellId cell;
  membership::VersionedRow present;
};
struct OwnershipWriteUnknown {
  CellId cell;
};
struct OwnershipRequestFailed {
  CellId cell;
};
/// A journal write was refused for a higher epoch.
struct JournalFenced {
  CellId cell;
};
/// The journal of the yielded cell is durable.
struct HandoverFinished {
  CellId cell;
};
using OwnershipEvent =
    std::variant<OwnershipRowRead, OwnershipWriteCommitted,
                 OwnershipWriteConflicted, OwnershipWriteUnknown,
                 OwnershipRequestFailed, JournalFenced, HandoverFinished>;
struct PeerNotesFound {
  std::uint64_t connection = 0;
  protocol::Notes notes;
};
/// A worker's word on LeasesRequested; one that cannot be reached says nothing.
struct LeaseResult {
  CellId cell;
  Epoch epoch;
  WorkerId worker;
  bool granted = false;
  Epoch highest;  ///< Seen by a worker that refused.
};
/// Heartbeats say that this instance leaves; its cells are handed over once
/// another instance of the data centre is there to take them, or when
/// `no_pending_requests` says that no caller here needs them any more.
struct LeaveSite {
  bool no_pending_requests = false;
};
using ToPeer =
    std::variant<CallForwarded, ForwardAbandoned, ForwardedCallReplied,
                 OwnedCellsUpdate, InstanceListReceived, OwnershipEvent,
                 PeerNotesFound, CellsUpdate, ConfigurationUpdate, LeaseResult,
                 LeaveSite>;

/// @return the cell's input for an operation whose reply goes to `token`.
[[nodiscard]] cell::Input ToInput(cell::ReplyToken token, protocol::CallOp op);

// To telemetry.

struct MetricsRequested {
  std::uint64_t number = 0;
};
using ToTelemetry = std::variant<MetricsRequested>;

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_DUTY_MESSAGES_H_
