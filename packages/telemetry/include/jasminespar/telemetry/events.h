/// @file
/// Log events, each with a fixed number, and the functions that log them.
/// docs/EVENTS.md lists them for operators.

#ifndef JASMINESPAR_TELEMETRY_EVENTS_H_
#define JASMINESPAR_TELEMETRY_EVENTS_H_

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "jasminespar/core/name_table.h"

namespace jasminespar::telemetry {

enum class Severity : std::uint8_t { kVerbose, kInfo, kWarning, kError };

inline constexpr NameTable<Severity, 4> kSeverityNames{{
    {Severity::kVerbose, "verbose", "Logged only with glog's -v=1."},
    {Severity::kInfo, "info", "Normal operation."},
    {Severity::kWarning, "warning", "Handled; investigate if it repeats."},
    {Severity::kError, "error", "Needs an operator."},
}};
static_assert(IsDense(kSeverityNames));

/// Kinds of log event; kEvents gives the number, name and severity of each.
enum class Event : std::uint8_t {
  // Process.
  kStarted,
  kStopping,
  kStopped,
  kSettingsFault,
  kInternalError,
  kRingCongested,
  // Cells.
  kCellClaimed,
  kCellLost,
  kCellRecovered,
  kClaimConflict,
  kRecoveryStarted,
  kHandoverStarted,
  kHandoverFinished,
  // Peers.
  kPeerSuspected,
  kPeerBack,
  kStaleMessage,
  // Workers.
  kWorkerLost,
  kWorkerLeaving,
  kWorkerQuarantined,
  // Table service, object store and journal.
  kStoreUnavailable,
  kStoreBack,
  kJournalFenced,
  kJournalUnknownWriteResolved,
  // Configuration.
  kNoteAccepted,
  kNoteConflict,
  kRevisionApplied,
  kRevisionLowerIgnored,
  kGuaranteeInfeasible,
  // Calls.
  kCallRefused,
  // Events of instances that serve jobs.
  kLogLinesLeftOut,
  kSettingsReloaded,
  kRowUnreadable,
  kJobAccepted,
  kJobRefused,
  kJobAnswerUnknown,
  kCancellationAccepted,
  kJobDecision,
  kOwnerChanged,
  kCommitRepeated,
  kCommitMalformed,
  kClaimSuperseded,
  kRunConcluded,
  kRunContradicted,
};

/// One row of kEvents.
struct EventRow {
  Event value;
  /// Written as event=NUMBER. Never reused for another event, because
  /// operators search old logs by number.
  int number;
  std::string_view name;
  Severity severity;
  std::string_view help;  ///< Same text as in docs/EVENTS.md.
};

inline constexpr std::array<EventRow, 43> kEvents{{
    {Event::kStarted, 1001, "started", Severity::kInfo,
     "The instance has started and serves requests."},
    {Event::kStopping, 1002, "stopping", Severity::kInfo,
     "A shutdown has begun; requests in progress may finish."},
    {Event::kStopped, 1003, "stopped", Severity::kInfo,
     "The shutdown is complete."},
    {Event::kSettingsFault, 1004, "settings_fault", Severity::kError,
     "A setting is missing, unknown or out of range; the process ends."},
    {Event::kInternalError, 1005, "internal_error", Severity::kError,
     "An unexpected exception or a violated invariant; a bug to report."},
    {Event::kRingCongested, 1006, "ring_congested", Severity::kWarning,
     "A ring between two threads is full, so new work is refused or not read."},
    {Event::kCellClaimed, 2001, "cell_claimed", Severity::kInfo,
     "This instance became the owner of a cell."},
    {Event::kCellLost, 2002, "cell_lost", Severity::kWarning,
     "Another instance became the owner of a cell that this instance owned."},
    {Event::kCellRecovered, 2003, "cell_recovered", Severity::kInfo,
     "The owner of a claimed cell has recovered its state and schedules."},
    {Event::kClaimConflict, 2004, "claim_conflict", Severity::kInfo,
     "Another instance was first to claim the cell."},
    {Event::kRecoveryStarted, 2005, "recovery_started", Severity::kInfo,
     "The new owner reads its journal and its workers' reports."},
    {Event::kHandoverStarted, 2006, "handover_started", Severity::kInfo,
     "The owner has begun to hand a cell over to another instance."},
    {Event::kHandoverFinished, 2007, "handover_finished", Severity::kInfo,
     "The new owner has taken over the cell."},
    {Event::kPeerSuspected, 3001, "peer_suspected", Severity::kWarning,
     "No heartbeat arrived from a peer for suspect_after."},
    {Event::kPeerBack, 3002, "peer_back", Severity::kInfo,
     "A heartbeat of a suspected peer arrived."},
    {Event::kStaleMessage, 3003, "stale_message", Severity::kVerbose,
     "A late, reordered or duplicate message was dropped."},
    {Event::kWorkerLost, 4001, "worker_lost", Severity::kWarning,
     "A worker's lease expired without a report."},
    {Event::kWorkerLeaving, 4002, "worker_leaving", Severity::kInfo,
     "A worker is draining and gets no new tasks."},
    {Event::kWorkerQuarantined, 4003, "worker_quarantined", Severity::kWarning,
     "A worker failed distinct jobs in a row and gets no new tasks for a "
     "time."},
    {Event::kStoreUnavailable, 5001, "store_unavailable", Severity::kError,
     "The platform's table or object store does not answer."},
    {Event::kStoreBack, 5002, "store_back", Severity::kInfo,
     "The platform's store answers again."},
    {Event::kJournalFenced, 5003, "journal_fenced", Severity::kWarning,
     "A journal write was refused because the cell has a newer owner."},
    {Event::kJournalUnknownWriteResolved, 5004,
     "journal_unknown_write_resolved", Severity::kWarning,
     "The outcome of a write whose answer was lost was read back."},
    {Event::kNoteAccepted, 6001, "note_accepted", Severity::kInfo,
     "A release note became the next revision."},
    {Event::kNoteConflict, 6002, "note_conflict", Severity::kInfo,
     "A release note lost to another one with the same base revision."},
    {Event::kRevisionApplied, 6003, "revision_applied", Severity::kInfo,
     "A higher revision is in force on this instance."},
    {Event::kRevisionLowerIgnored, 6004, "revision_lower_ignored",
     Severity::kWarning, "A revision that is not higher was not applied."},
    {Event::kGuaranteeInfeasible, 6005, "guarantee_infeasible",
     Severity::kError, "The remaining workers cannot satisfy every guarantee."},
    {Event::kCallRefused, 7001, "call_refused", Severity::kVerbose,
     "A call ended in a refusal."},
    {Event::kLogLinesLeftOut, 1007, "log_lines_left_out", Severity::kWarning,
     "Log lines were dropped because a ring was full."},
    {Event::kSettingsReloaded, 1008, "settings_reloaded", Severity::kInfo,
     "The settings file was read again."},
    {Event::kRowUnreadable, 5005, "row_unreadable", Severity::kWarning,
     "A row of the table could not be decoded and is skipped."},
    {Event::kJobAccepted, 8001, "job_accepted", Severity::kInfo,
     "A job was stored durably and its caller was notified."},
    {Event::kJobRefused, 8002, "job_refused", Severity::kInfo,
     "A caller's request was refused; nothing of it was done."},
    {Event::kJobAnswerUnknown, 8003, "job_answer_unknown", Severity::kWarning,
     "The outcome was not known in time, so the caller must ask again."},
    {Event::kCancellationAccepted, 8004, "cancellation_accepted",
     Severity::kInfo, "A job's cancellation is durable."},
    {Event::kJobDecision, 8005, "job_decision", Severity::kInfo,
     "The owner decided on a run, a job or a worker."},
    {Event::kOwnerChanged, 8006, "owner_changed", Severity::kInfo,
     "The row of the cell names another owner or epoch."},
    {Event::kCommitRepeated, 8007, "commit_repeated", Severity::kWarning,
     "The outcome of an owner's write is not known yet; it is sent again."},
    {Event::kCommitMalformed, 8008, "commit_malformed", Severity::kError,
     "The table rejected an owner's write as malformed; smaller ones follow."},
    {Event::kClaimSuperseded, 8009, "claim_superseded", Severity::kInfo,
     "A claim was confirmed after another instance had claimed the cell."},
    {Event::kRunConcluded, 8010, "run_concluded", Severity::kInfo,
     "The owner holds a run to be over whose end no worker has listed."},
    {Event::kRunContradicted, 8011, "run_contradicted", Severity::kWarning,
     "A worker's report shows that a task has run twice, or nearly."},
}};
static_assert(IsDense(kEvents));
static_assert(static_cast<std::size_t>(Event::kRunContradicted) + 1 ==
              kEvents.size());

/// One key=value pair of an event. Does not own the key or a text value: both
/// must outlive the field.
class Field {
 public:
  Field(std::string_view key, std::string_view value)
      : key_(key), value_(value) {}
  Field(std::string_view key, const char* value)
      : Field(key, std::string_view(value)) {}
  Field(std::string_view key, const std::string& value)
      : Field(key, std::string_view(value)) {}
  Field(std::string_view key, double value) : key_(key), value_(value) {}
  Field(std::string_view key, bool value) : key_(key), value_(value) {}
  template <std::integral Number>
  Field(std::string_view key, Number value)
      : key_(key), value_(static_cast<std::int64_t>(value)) {}

  /// Appends "key=value". A text value is quoted and escaped if it is empty or
  /// contains a space, a quote, '=', a backslash or a control character.
  void AppendTo(std::string& line) const;

 private:
  std::string_view key_;
  std::variant<std::string_view, std::int64_t, double, bool> value_;
};

/// @return the log line of an event with its fields in the given order, such
///     as "event=2001 name=cell_claimed cell=dc-a/0".
[[nodiscard]] std::string FormatEvent(Event event,
                                      std::initializer_list<Field> fields);

/// Logs one line through glog at the event's severity. Thread-safe.
void LogEvent(Event event, std::initializer_list<Field> fields);

/// Initializes glog; call once, before the first event is logged.
/// @param program program name, used in the names of the log files.
/// @param folder folder of the log files; empty to log to standard error.
void StartLogging(const std::string& program, const std::string& folder);

}  // namespace jasminespar::telemetry

#endif  // JASMINESPAR_TELEMETRY_EVENTS_H_
