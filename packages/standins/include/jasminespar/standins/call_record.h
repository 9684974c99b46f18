/// @file
/// Outcome of one call as its caller observed it.

#ifndef JASMINESPAR_STANDINS_CALL_RECORD_H_
#define JASMINESPAR_STANDINS_CALL_RECORD_H_

#include <cstdint>
#include <string>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"
#include "jasminespar/core/verdict.h"
#include "jasminespar/standins/load_plan.h"

namespace jasminespar::standins {

enum class CallerOutcome : std::uint8_t {
  kPending,
  kAnswered,
  kRefused,
  kWrongAnswer,
  kNone,
};

inline constexpr NameTable<CallerOutcome, 5> kCallerOutcomeNames{{
    {CallerOutcome::kPending, "pending", "No outcome yet."},
    {CallerOutcome::kAnswered, "answered", "The complete answer to this call."},
    {CallerOutcome::kRefused, "refused", "A refusal that states a verdict."},
    {CallerOutcome::kWrongAnswer, "wrong_answer",
     "An answer to another call, or one cut short."},
    {CallerOutcome::kNone, "none", "No outcome before the caller gave up."},
}};
static_assert(IsDense(kCallerOutcomeNames));

/// A planned call and what its caller has observed so far.
struct CallRecord {
  PlannedCall plan;
  CallId id;
  CallerOutcome outcome = CallerOutcome::kPending;
  std::string reason;  ///< Of the last refusal, or what went wrong.
  Verdict verdict = Verdict::kMayHaveRun;  ///< Of the last refusal.
  int sends = 0;          ///< Requests that were sent at least in part.
  int unanswered = 0;     ///< Sends without a complete response.
  int not_run = 0;        ///< Sends refused with verdict not_run.
  Duration completion{};  ///< From the planned arrival to the outcome.
  /// Load::Finish sent the call again and got another outcome.
  bool outcome_changed = false;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_CALL_RECORD_H_
