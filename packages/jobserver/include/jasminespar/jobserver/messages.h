/// @file
/// Messages between the duties of an instance that serves jobs. The variants at
/// the end of each section are the message types of the rings.

#ifndef JASMINESPAR_JOBSERVER_MESSAGES_H_
#define JASMINESPAR_JOBSERVER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/jobs/configuration_sync.h"
#include "jasminespar/jobs/messages.h"
#include "jasminespar/jobs/ownership.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/site/table.h"

namespace jasminespar::jobserver {

// ---- To the front, some of them to the dispatch duty too ----

/// A newer configuration, from the table or from a peer.
struct ConfigurationUpdate {
  std::shared_ptr<const jobs::ConfigurationSnapshot> configuration;
};
/// A job's status row was read or has changed.
struct StatusUpdate {
  jobs::JobStatus status;
};
/// The owner deleted the job's status row, the last one of that job.
struct StatusDeleted {
  jobs::JobId job;
};
/// The table holds a cancellation of the job.
struct CancellationFound {
  jobs::JobId job;
};
/// The table no longer holds a cancellation of the job.
struct CancellationDeleted {
  jobs::JobId job;
};
/// Sent after the last of the statuses that a complete read of the table found.
struct StatusesLoaded {};
/// Outcome of a WriteRows.
struct WriteCompleted {
  std::uint64_t number = 0;  ///< Of the WriteRows.
  site::TableOutcome outcome;
};
/// Outcome of a ReadRow.
struct ReadCompleted {
  std::uint64_t number = 0;  ///< Of the ReadRow.
  site::TableOutcome outcome;
};

/// Whether the table is reachable, directly or through a peer.
struct TableReachable {
  bool reachable = false;
};

/// Submissions that a peer abandoned without a known outcome.
struct PeerUnsettledSubmissions {
  InstanceId peer;
  std::vector<jobs::JobId> jobs;
};

/// The instance shuts down: the front reports itself not ready and still
/// answers every request that arrives.
struct DrainFront {};

using ToFront =
    std::variant<ConfigurationUpdate, StatusUpdate, StatusDeleted,
                 CancellationFound, CancellationDeleted, StatusesLoaded,
                 WriteCompleted, ReadCompleted, TableReachable,
                 PeerUnsettledSubmissions, DrainFront>;

// ---- To the dispatch duty ----

/// The owner row was read or has changed.
struct OwnerUpdate {
  jobs::OwnerRow row;
  jobs::RowVersion version;
};
/// The table was read and has no owner row.
struct OwnerAbsent {};
/// The table served a request; sent at a limited rate.
struct TableAnswered {};

// The next eleven are for the owner of `epoch`; an instance that does not own
// the cell under that epoch ignores them.

/// A job row was read or has changed, with its progress as loaded at a
/// takeover.
struct JobUpdate {
  Epoch epoch;
  jobs::AcceptedJob job;
  std::vector<jobs::JobProgress> progress;  ///< Recorded by earlier owners.
};
/// A job row was deleted.
struct JobRowRemoved {
  Epoch epoch;
  jobs::JobRowDeleted job;
};
/// The job rows were read completely again.
struct JobRowsRead {
  Epoch epoch;
  jobs::JobRowsListed rows;
};
/// A queue's configuration that an owner has recorded.
struct QueueRecordFound {
  Epoch epoch;
  jobs::QueueRecorded recorded;
};
/// A worker that an owner has enrolled, as the table stores it.
struct EnrolledWorkerFound {
  Epoch epoch;
  jobs::WorkerEnrolled worker;
};
/// An entry of the operators' worker list was read or has changed.
struct WorkerUpdate {
  Epoch epoch;
  jobs::WorkerEntry entry;
};
/// A worker left the operators' list, or its entry became unreadable.
struct WorkerRemoved {
  Epoch epoch;
  jobs::WorkerUnlisted worker;
};
/// All changes of the operators' list up to a time were sent.
struct WorkersConfirmed {
  Epoch epoch;
  TimePoint as_of;
};
/// Every job that the table had at a time was sent.
struct JobsConfirmed {
  Epoch epoch;
  TimePoint as_of;
};
/// The rows of emptied data centres were read.
struct EvacuationsFound {
  Epoch epoch;
  jobs::EvacuationsRead read;
};
/// Everything that the cell's new owner needs from the table was sent.
struct LoadCompleted {
  Epoch epoch;
};
/// Outcome of a ForwardOrder.
struct OrderResult {
  Epoch epoch;
  jobs::OrderEnded ended;
};
/// A heartbeat arrived directly from a peer that owns the cell.
struct OwnerHeartbeatReceived {
  InstanceId instance;
};
/// The instance shuts down: make no claim, and release the cell if owned.
struct ReleaseCell {};
/// The settings file was reloaded.
struct DispatcherSettingsChanged {
  jobs::DispatcherSettings settings;
};

using ToDispatch = std::variant<
    ConfigurationUpdate, CancellationFound, CancellationDeleted, OwnerUpdate,
    OwnerAbsent, TableAnswered, JobUpdate, JobRowRemoved, JobRowsRead,
    QueueRecordFound, EnrolledWorkerFound, WorkerUpdate, WorkerRemoved,
    WorkersConfirmed, JobsConfirmed, EvacuationsFound, LoadCompleted,
    OrderResult, WriteCompleted, OwnerHeartbeatReceived, ReleaseCell,
    DispatcherSettingsChanged>;

// ---- To the configuration link, from the peer link ----

/// The configuration at all peers that send heartbeats.
struct PeerConfigurations {
  std::vector<jobs::PeerConfiguration> peers;
};
/// A peer asks for this instance's configuration; answered by
/// SendConfiguration, unless the peer has that version or a newer one.
struct PeerAsksForConfiguration {
  std::uint64_t connection = 0;  ///< Of the peer.
  Revision held;                 ///< By the peer.
};
/// A peer's answer to an AskPeerForConfiguration.
struct PeerConfigurationReceived {
  InstanceId peer;
  protocol::ConfigurationReply reply;
};
using ToConfiguration =
    std::variant<PeerConfigurations, PeerAsksForConfiguration,
                 PeerConfigurationReceived>;

// ---- To the store link ----

/// Carries out one transaction; answered by WriteCompleted.
struct WriteRows {
  std::uint64_t number = 0;  ///< Chosen by the sender.
  site::Transaction transaction;
  Duration timeout{};  ///< For all attempts.
  /// For all attempts while the table has refused every one of them.
  Duration refused_timeout = Duration::max();
};
/// Reads one row; answered by ReadCompleted.
struct ReadRow {
  std::uint64_t number = 0;  ///< Chosen by the sender.
  site::RowKey key;
};
/// This instance owns the cell: load its rows, then report changes.
struct BeginOwnership {
  Epoch epoch;
  /// Time after which nothing may start in an emptied data centre; zero: their
  /// rows are not read.
  Duration evacuate_within{};
};
/// This instance no longer owns the cell: stop reporting changes.
struct EndOwnership {};
/// Sends a peer's request directly to the table; answered by PeerRequestServed.
struct ServePeerRequest {
  std::uint64_t connection = 0;  ///< Of the peer.
  std::uint64_t number = 0;      ///< Chosen by the peer.
  site::TableRequest request;
};
/// Outcome of a SendRelayRequest.
struct RelayCompleted {
  std::uint64_t number = 0;  ///< Of the SendRelayRequest.
  site::TableOutcome outcome;
};
/// Whether some peer can relay requests to the table.
struct RelayAvailable {
  bool available = false;
};

/// Outcome of a request that the configuration link sent to the table.
struct ConfigurationReadEnded {
  site::TableOutcome outcome;  ///< Without rows.
  std::string error;           ///< Why the table did not serve it.
};

using FrontToStore = std::variant<WriteRows, ReadRow>;
using DispatchToStore = std::variant<WriteRows, BeginOwnership, EndOwnership>;
using ConfigurationToStore = std::variant<ConfigurationReadEnded>;
using PeersToStore =
    std::variant<ServePeerRequest, RelayCompleted, RelayAvailable>;

// ---- To the peer link ----

/// The peer address of an instance that serves jobs.
struct MemberAddress {
  InstanceId instance;
  configuration::Address address;
};
/// Whether the table serves this instance without a peer.
struct TableDirectlyReachable {
  bool reachable = false;
};
/// Sends a request to the table through a peer; answered by RelayCompleted.
struct SendRelayRequest {
  std::uint64_t number = 0;  ///< Chosen by the sender.
  site::TableRequest request;
};
/// Outcome of a ServePeerRequest, whose two numbers it repeats.
struct PeerRequestServed {
  std::uint64_t connection = 0;
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};
/// All submissions that this instance abandoned without a known outcome;
/// replaces the list sent before.
struct OwnUnsettledSubmissions {
  std::vector<jobs::JobId> jobs;
};
/// Whether this instance owns the cell.
struct CellOwned {
  bool owned = false;
};
/// What heartbeats are to say of this instance's configuration.
struct OwnConfiguration {
  Revision version;
  // As in jobs::PeerConfiguration.
  std::optional<TimePoint> confirmed_at;
  bool watches_table = false;
  Duration read_time{};
};
/// Asks a peer for its configuration; answered by PeerConfigurationReceived, if
/// at all.
struct AskPeerForConfiguration {
  InstanceId peer;
  Revision held;
};
/// Answers a PeerAsksForConfiguration.
struct SendConfiguration {
  std::uint64_t connection = 0;
  std::shared_ptr<const std::string> message;  ///< Encoded.
};
using ToPeers =
    std::variant<MemberAddress, TableDirectlyReachable, SendRelayRequest,
                 PeerRequestServed, OwnUnsettledSubmissions, CellOwned,
                 OwnConfiguration, AskPeerForConfiguration, SendConfiguration>;

// ---- To the worker link ----

/// Sends an order to its worker; answered by OrderResult.
struct ForwardOrder {
  Epoch epoch;
  jobs::SendOrder order;
  TimePoint expires_at;  ///< It is not sent from then on.
};
using ToWorkers = std::variant<ForwardOrder>;

// ---- To telemetry ----

/// A complete line of the log, with its line feed.
struct LogLine {
  std::string text;
};
using ToTelemetry = std::variant<LogLine>;

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_MESSAGES_H_
