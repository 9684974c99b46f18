/// @file
/// Checks the outcomes of calls against the runs that the workers recorded.

#ifndef JASMINESPAR_STANDINS_PROMISES_H_
#define JASMINESPAR_STANDINS_PROMISES_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/cell/task.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/standins/call_record.h"

namespace jasminespar::standins {

/// What the system guarantees its callers.
enum class Promise : std::uint8_t {
  kOneOutcome,
  kOwnWholeAnswer,
  kStableOutcome,
  kNotRunTrue,
  kAtMostOnce,
  kAnswerRan,
  kWholeGang,
  kRevisionsRise,
  kNoteInForce,
};

inline constexpr NameTable<Promise, 9> kPromiseNames{{
    {Promise::kOneOutcome, "one_outcome", "Every call ended in an outcome."},
    {Promise::kOwnWholeAnswer, "own_whole_answer",
     "Every response was the caller's own whole answer or a true refusal."},
    {Promise::kStableOutcome, "stable_outcome",
     "The key gave the same outcome when sent again."},
    {Promise::kNotRunTrue, "not_run_true",
     "Nothing started of a call whose every send was refused with not_run."},
    {Promise::kAtMostOnce, "at_most_once",
     "No part of a non-idempotent call started twice."},
    {Promise::kAnswerRan, "answer_ran",
     "Every answered call has a whole gang that ran to its end."},
    {Promise::kWholeGang, "whole_gang",
     "No part of an incomplete gang ran on past the workers' lease."},
    {Promise::kRevisionsRise, "revisions_rise",
     "No instance showed a lower revision than before."},
    {Promise::kNoteInForce, "note_in_force",
     "No call was refused for an account or service that the note added."},
}};
static_assert(IsDense(kPromiseNames));

/// A violation of a promise.
struct Breach {
  Promise promise = Promise::kOneOutcome;
  std::string detail;
};

/// One run of a task that a worker recorded.
struct ObservedRun {
  CallId call;
  CellId cell;  ///< Each cell numbers its own attempts.
  std::uint64_t attempt = 0;
  std::uint64_t worker = 0;
  std::uint32_t rank = 0;
  std::uint32_t gang_workers = 1;
  std::int64_t started_ms = 0;
  std::optional<std::int64_t> ended_ms;  ///< Nothing while it runs.
  cell::TaskState state = cell::TaskState::kRunning;
};

/// @param body response to `GET /admin/runs` on the admin port of all workers.
/// @throws nlohmann::json::exception when it is malformed.
[[nodiscard]] std::vector<ObservedRun> ParseRuns(const nlohmann::json& body);

/// Checks all promises but kRevisionsRise.
/// @param incomplete_gang_limit longest time that a task of an incomplete gang
///     may run.
/// @return every breach; empty when all promises held.
[[nodiscard]] std::vector<Breach> CheckPromises(
    const std::vector<CallRecord>& records,
    const std::vector<ObservedRun>& runs, Duration incomplete_gang_limit);

/// @return one line for each promise: that it held, or the number of breaches
///     and the first of them.
[[nodiscard]] std::string FormatVerdicts(const std::vector<Breach>& breaches);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_PROMISES_H_
