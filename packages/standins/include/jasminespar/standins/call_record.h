/// @file
/// What a caller saw of one call.

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
    {CallerOutcome::kPending, "pending", "Still waited for."},
    {CallerOutcome::kAnswered, "answered", "Its own answer, whole."},
    {CallerOutcome::kRefused, "refused", "A refusal with a verdict."},
    {CallerOutcome::kWrongAnswer, "wrong_answer", "Another or cut answer."},
    {CallerOutcome::kNone, "none", "No outcome until the caller gave up."},
}};
static_assert(IsDense(kCallerOutcomeNames));

struct CallRecord {
  PlannedCall plan;
  CallId id;
  CallerOutcome outcome = CallerOutcome::kPending;
  std::string reason;  ///< Of the refusal, or what was wrong.
  Verdict verdict = Verdict::kMayHaveRun;  ///< Of the refusal.
  int sends = 0;          ///< Requests of which a byte left the caller.
  int unanswered = 0;     ///< Sends without a whole response.
  int not_run = 0;        ///< Sends refused with not_run.
  Duration completion{};  ///< From the planned arrival to the outcome.
  bool changed = false;   ///< A later look showed another outcome.
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_CALL_RECORD_H_
