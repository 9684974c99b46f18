/// @file
/// Names and help texts of the metrics, except the refusal and retry counters
/// by reason.

#ifndef JASMINESPAR_TELEMETRY_METRIC_NAMES_H_
#define JASMINESPAR_TELEMETRY_METRIC_NAMES_H_

#include <cstddef>
#include <cstdint>

#include "jasminespar/core/name_table.h"

namespace jasminespar::telemetry {

/// Monotonic counters, exported as jasminespar_{name}_total.
enum class Counter : std::uint8_t {
  kCallsAccepted,
  kCallsAnswered,
  kCallsJoined,
  kCallsCancelled,
  kCallsForwarded,
  kCallsSpilled,
  kCallersGone,
  kGangsStarted,
  kGangsAborted,
  kGangsReclaimed,
  kTasksLost,
  kStaleAnswers,
  kDamagedAnswers,
  kCellsClaimed,
  kCellsLost,
  kJournalWrites,
  kJournalRecords,
  kJournalBytes,
  kJournalFenced,
  kStoreReads,
  kStoreRowsWritten,
  kStoreErrors,
  kStoreUnknownWrites,
  kPeerDatagramsSent,
  kPeerDatagramsReceived,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPeerMessagesDropped,
  kNotesAccepted,
  kNotesRefused,
  kRevisionsApplied,
  kRevisionsIgnored,
  kRingCongestions,
  kConfigurationsFromPeers,
  kRunsContradicted,
};

inline constexpr NameTable<Counter, 35> kCounterNames{{
    {Counter::kCallsAccepted, "calls_accepted",
     "Calls taken in by a cell owned here."},
    {Counter::kCallsAnswered, "calls_answered",
     "Calls that ended in the endpoint's answer."},
    {Counter::kCallsJoined, "calls_joined",
     "Repeated requests that joined a call by its key."},
    {Counter::kCallsCancelled, "calls_cancelled",
     "Calls that ended by their caller's cancellation."},
    {Counter::kCallsForwarded, "calls_forwarded",
     "Calls sent on to the owner of their cell."},
    {Counter::kCallsSpilled, "calls_spilled",
     "Calls placed in another cell than their home cell."},
    {Counter::kCallersGone, "callers_gone",
     "Callers that left before the outcome of their call."},
    {Counter::kGangsStarted, "gangs_started",
     "Gangs whose every part was released."},
    {Counter::kGangsAborted, "gangs_aborted",
     "Gangs given up before the release."},
    {Counter::kGangsReclaimed, "gangs_reclaimed",
     "Borrowed gangs stopped for a guarantee."},
    {Counter::kTasksLost, "tasks_lost", "Tasks that ended with their worker."},
    {Counter::kStaleAnswers, "stale_answers",
     "Late, crossed or duplicate answers dropped."},
    {Counter::kDamagedAnswers, "damaged_answers",
     "Answers with another length or digest than announced."},
    {Counter::kCellsClaimed, "cells_claimed",
     "Cells whose owner this instance became."},
    {Counter::kCellsLost, "cells_lost", "Cells that went to another owner."},
    {Counter::kJournalWrites, "journal_writes", "Writes of journal batches."},
    {Counter::kJournalRecords, "journal_records", "Records in those batches."},
    {Counter::kJournalBytes, "journal_bytes", "Bytes in those batches."},
    {Counter::kJournalFenced, "journal_fenced",
     "Journal writes refused for a newer epoch."},
    {Counter::kStoreReads, "store_reads",
     "Read and scan requests to the table service."},
    {Counter::kStoreRowsWritten, "store_rows_written",
     "Rows written to the table service."},
    {Counter::kStoreErrors, "store_errors",
     "Requests to the platform that failed."},
    {Counter::kStoreUnknownWrites, "store_unknown_writes",
     "Writes whose answer was lost."},
    {Counter::kPeerDatagramsSent, "peer_datagrams_sent",
     "Datagrams sent to peers."},
    {Counter::kPeerDatagramsReceived, "peer_datagrams_received",
     "Datagrams received from peers."},
    {Counter::kPeerBytesSent, "peer_bytes_sent",
     "Bytes sent to peers, UDP and TCP."},
    {Counter::kPeerBytesReceived, "peer_bytes_received",
     "Bytes received from peers, UDP and TCP."},
    {Counter::kPeerMessagesDropped, "peer_messages_dropped",
     "Messages from peers that were stale or damaged."},
    {Counter::kNotesAccepted, "notes_accepted",
     "Release notes accepted through this instance."},
    {Counter::kNotesRefused, "notes_refused",
     "Release notes refused through this instance."},
    {Counter::kRevisionsApplied, "revisions_applied",
     "Higher revisions that came into force here."},
    {Counter::kRevisionsIgnored, "revisions_ignored",
     "Revisions that were not higher and were ignored."},
    {Counter::kRingCongestions, "ring_congestions",
     "Times that a ring was found full."},
    {Counter::kConfigurationsFromPeers, "configurations_from_peers",
     "Configurations that came into force here from a peer."},
    {Counter::kRunsContradicted, "runs_contradicted",
     "Runs that a worker listed though they should have been over."},
}};
static_assert(IsDense(kCounterNames));
static_assert(static_cast<std::size_t>(Counter::kRunsContradicted) + 1 ==
              kCounterNames.size());

/// Current values, exported as jasminespar_{name}.
enum class Gauge : std::uint8_t {
  kReady,
  kStoreAvailable,
  kConnections,
  kCellsOwned,
  kLivePeers,
  kConfigurationRevision,
  kWaitingCalls,
  kRunningCalls,
  kKeptOutcomes,
  kFreeAccelerators,
  kTotalAccelerators,
  kLargestFreeShape,
  kQuarantinedWorkers,
  kInfeasibleGuarantees,
  kJournalPendingBytes,
  kDataCentresEmptied,
  kKnownPaces,
  kPaceSpread,
};

inline constexpr NameTable<Gauge, 18> kGaugeNames{{
    {Gauge::kReady, "ready", "1 when this instance is ready, else 0."},
    {Gauge::kStoreAvailable, "store_available",
     "1 when the platform's store answers, else 0."},
    {Gauge::kConnections, "connections",
     "Open connections of callers and operators."},
    {Gauge::kCellsOwned, "cells_owned", "Cells owned by this instance."},
    {Gauge::kLivePeers, "live_peers", "Peers not suspected."},
    {Gauge::kConfigurationRevision, "configuration_revision",
     "Revision in force on this instance."},
    {Gauge::kWaitingCalls, "waiting_calls",
     "Calls that wait in cells owned here."},
    {Gauge::kRunningCalls, "running_calls",
     "Calls that run in cells owned here."},
    {Gauge::kKeptOutcomes, "kept_outcomes",
     "Outcomes kept for late collection."},
    {Gauge::kFreeAccelerators, "free_accelerators",
     "Free accelerators of cells owned here."},
    {Gauge::kTotalAccelerators, "total_accelerators",
     "Accelerators of cells owned here."},
    {Gauge::kLargestFreeShape, "largest_free_shape",
     "Most adjacent accelerators free in one place."},
    {Gauge::kQuarantinedWorkers, "quarantined_workers",
     "Workers in quarantine."},
    {Gauge::kInfeasibleGuarantees, "infeasible_guarantees",
     "Guarantees that the workers left cannot hold."},
    {Gauge::kJournalPendingBytes, "journal_pending_bytes",
     "Bytes that wait for a journal write."},
    {Gauge::kDataCentresEmptied, "data_centres_emptied",
     "Data centres that the operator empties, as the owner of the cell knows."},
    {Gauge::kKnownPaces, "known_paces",
     "Workers whose pace the owner here knows."},
    {Gauge::kPaceSpread, "pace_spread",
     "Standard deviation of the logarithm of those paces."},
}};
static_assert(IsDense(kGaugeNames));
static_assert(static_cast<std::size_t>(Gauge::kPaceSpread) + 1 ==
              kGaugeNames.size());

/// Histograms of durations, exported as jasminespar_{name}_seconds.
enum class Timing : std::uint8_t {
  kCallDuration,
  kQueueWait,
  kGangPrepare,
  kDecision,
  kJournalWrite,
  kStoreRequest,
  kForward,
  kTakeover,
  kReclaim,
  kConfigurationSpread,
  kConfigurationRead,
};

inline constexpr NameTable<Timing, 11> kTimingNames{{
    {Timing::kCallDuration, "call_duration", "From arrival to outcome."},
    {Timing::kQueueWait, "queue_wait",
     "From arrival to the start of the gang."},
    {Timing::kGangPrepare, "gang_prepare",
     "From the first order to the release."},
    {Timing::kDecision, "decision", "One run of the deciding code of a cell."},
    {Timing::kJournalWrite, "journal_write",
     "From a record's entry to its durable write."},
    {Timing::kStoreRequest, "store_request", "One request to the platform."},
    {Timing::kForward, "forward",
     "One call sent on to a peer, answer included."},
    {Timing::kTakeover, "takeover", "From a claim to the end of recovery."},
    {Timing::kReclaim, "reclaim",
     "From the call of a guarantee to free accelerators."},
    {Timing::kConfigurationSpread, "configuration_spread",
     "From a note's acceptance to its revision in force here."},
    {Timing::kConfigurationRead, "configuration_read",
     "Transfer and decoding of a configuration from the table."},
}};
static_assert(IsDense(kTimingNames));
static_assert(static_cast<std::size_t>(Timing::kConfigurationRead) + 1 ==
              kTimingNames.size());

}  // namespace jasminespar::telemetry

#endif  // JASMINESPAR_TELEMETRY_METRIC_NAMES_H_
