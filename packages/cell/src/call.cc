#include "call.h"

#include <algorithm>

#include "invariant.h"

namespace jasminespar::cell {
namespace {

constexpr Duration kMaxRefusalMargin = 250ms;
constexpr int kRefusalMarginDivisor = 8;

}  // namespace

TimePoint ExpiryOf(const Call& call) {
  if (!RequiresDurability(call.request)) return call.deadline;
  const Duration whole = call.deadline - call.arrival;
  return call.deadline -
         std::min<Duration>(kMaxRefusalMargin, whole / kRefusalMarginDivisor);
}

Verdict VerdictOf(const Call& call) {
  return call.run ? CombineVerdicts(call.past_verdict, call.run->verdict())
                  : call.past_verdict;
}

void CheckCall(const Call& call) {
  const bool ended = call.phase == CallPhase::kEnded;
  Require(ended == call.outcome.has_value(), "an ended call has its outcome");
  Require(!call.answered || ended, "only an ended call is answered");
  Require(!call.enqueued || call.phase == CallPhase::kWaiting,
          "only a waiting call is enqueued");
  Require(call.phase != CallPhase::kActive || call.run.has_value(),
          "an active call has a run");
  Require(call.phase != CallPhase::kWaiting ||
              (!call.run && call.placement.parts.empty()),
          "a waiting call has no accelerators");
  Require(call.phase != CallPhase::kStarting || !call.run,
          "a call has no run before its record is durable");
  Require(!call.run || call.run->attempt() == call.attempt,
          "the run is the latest attempt");
}

CallState StateOf(const Call& call) {
  switch (call.phase) {
    case CallPhase::kWaiting:
      return CallState::kQueued;
    case CallPhase::kStarting:
      return CallState::kPreparing;
    case CallPhase::kActive:
      return call.run->phase() == GangPhase::kPreparing ? CallState::kPreparing
                                                        : CallState::kRunning;
    case CallPhase::kEnded:
      break;
  }
  return CallState::kEnded;
}

}  // namespace jasminespar::cell
