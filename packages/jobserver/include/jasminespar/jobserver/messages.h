/// @file
/// Messages between the duties of an instance that serves jobs.

#ifndef JASMINESPAR_JOBSERVER_MESSAGES_H_
#define JASMINESPAR_JOBSERVER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jasminespar/configuration/topology.h"
#include "jasminespar/jobs/messages.h"
#include "jasminespar/jobs/ownership.h"
#include "jasminespar/site/table.h"

namespace jasminespar::jobserver {

// ---- To the front and the dispatcher, from the table ----

struct ConfigurationSeen {
  std::shared_ptr<const jobs::SiteConfiguration> configuration;
};
struct StatusSeen {
  jobs::JobStatus status;
};
struct StatusForgotten {
  jobs::JobId job;
};
struct CancellationSeen {
  jobs::JobId job;
};
/// Every status that the table holds was sent.
struct StatusesLoaded {};
struct WriteEnded {
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};
struct ReadEnded {
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};

/// Whether some way to the table is open.
struct TableUsable {
  bool usable = false;
};

/// Submissions that a peer gave up without a known outcome.
struct UnsettledAtPeer {
  InstanceId peer;
  std::vector<jobs::JobId> jobs;
};

/// The instance is asked to leave: answer what comes, and be not ready.
struct DrainFront {};

using ToFront =
    std::variant<ConfigurationSeen, StatusSeen, StatusForgotten,
                 CancellationSeen, StatusesLoaded, WriteEnded, ReadEnded,
                 TableUsable, UnsettledAtPeer, DrainFront>;

// ---- To the dispatcher ----

struct OwnerSeen {
  jobs::OwnerRow row;
  jobs::RowVersion version;
};
struct OwnerAbsent {};
struct TableSeen {};  ///< The table answered.

/// What the table holds for the owner of an epoch.
struct JobSeen {
  Epoch epoch;
  jobs::AcceptedJob job;
  jobs::JobProgress progress;
};
struct EnrolledSeen {
  Epoch epoch;
  jobs::WorkerEnrolled worker;
};
struct WorkerSeen {
  Epoch epoch;
  jobs::WorkerEntry entry;
};
struct WorkerGone {
  Epoch epoch;
  jobs::WorkerName name;
};
struct LoadFinished {
  Epoch epoch;
};
struct OrderReturned {
  Epoch epoch;
  jobs::OrderEnded ended;
};
/// A sign of life came from a peer.
struct PeerHeard {
  InstanceId instance;
};
/// The instance is asked to leave: give the cell away.
struct LeaveCell {};
struct DispatcherSettingsChanged {
  jobs::DispatcherSettings settings;
};

using ToDispatch =
    std::variant<ConfigurationSeen, CancellationSeen, OwnerSeen, OwnerAbsent,
                 TableSeen, JobSeen, EnrolledSeen, WorkerSeen, WorkerGone,
                 LoadFinished, OrderReturned, WriteEnded, PeerHeard, LeaveCell,
                 DispatcherSettingsChanged>;

// ---- To the store link ----

struct WriteRows {
  std::uint64_t number = 0;
  site::Transaction transaction;
  Duration span{};  ///< For all attempts.
  /// For attempts that the table turns away, when none is uncertain.
  Duration turned_away_span = Duration::max();
};
struct ReadRow {
  std::uint64_t number = 0;
  site::RowKey key;
};
/// This instance owns the cell: load it, then report changes.
struct BeginOwning {
  Epoch epoch;
};
struct EndOwning {};
/// A peer asks for one request to the table.
struct ServeRelay {
  std::uint64_t connection = 0;
  std::uint64_t number = 0;
  site::TableRequest request;
};
struct RelayEnded {
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};
/// Whether some peer can be asked.
struct RelayAvailable {
  bool available = false;
};

using FrontToStore = std::variant<WriteRows, ReadRow>;
using DispatchToStore = std::variant<WriteRows, BeginOwning, EndOwning>;
using PeersToStore = std::variant<ServeRelay, RelayEnded, RelayAvailable>;

// ---- To the peer link, from the store link and the front ----

struct MemberSeen {
  InstanceId instance;
  configuration::Address address;
};
/// Whether the table serves this instance.
struct TableReached {
  bool reached = false;
};
struct RelayWanted {
  std::uint64_t number = 0;
  site::TableRequest request;
};
struct RelayServed {
  std::uint64_t connection = 0;
  std::uint64_t number = 0;
  site::TableOutcome outcome;
};
/// Submissions that this instance gave up without a known outcome, all of them.
struct UnsettledHere {
  std::vector<jobs::JobId> jobs;
};
using ToPeers = std::variant<MemberSeen, TableReached, RelayWanted, RelayServed,
                             UnsettledHere>;

// ---- To the worker link ----

struct ForwardOrder {
  Epoch epoch;
  jobs::SendOrder order;
};
using ToWorkers = std::variant<ForwardOrder>;

// ---- To telemetry ----

struct LogLine {
  std::string text;
};
using ToTelemetry = std::variant<LogLine>;

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_MESSAGES_H_
