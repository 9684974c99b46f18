#include "cell_model/invariant_checker.h"

#include <stdexcept>
#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell_model {
namespace {

/// @return whether the call's outcome is journaled.
bool IsRecorded(const CallRequest& request) {
  return request.idempotence == Idempotence::kNonIdempotent ||
         request.delivery == Delivery::kCollect;
}

}  // namespace

std::string AnswerBody(const cell::TaskOrder& order) {
  return ToString(order.task.call) + " by " + order.body;
}

void InvariantChecker::Check(bool holds, const CallId& call,
                             const std::string& rule) const {
  if (!holds) throw std::logic_error("model: " + rule + ": " + ToString(call));
}

void InvariantChecker::OnLookUp(const CallRequest& request,
                                cell::ReplyToken token, Epoch owner) {
  const auto [history, inserted] = calls_.try_emplace(request.id);
  if (inserted) {
    history->second.request = request;
    ++counts.calls;
  }
  history->second.tokens.insert(token);
  submissions_[token] = Submission{request.id, owner, {}, false};
}

void InvariantChecker::OnSubmit(const CallRequest& request,
                                cell::ReplyToken token, Epoch owner) {
  OnLookUp(request, token, owner);
  ++calls_.at(request.id).submissions;
}

void InvariantChecker::OnForgetToken(cell::ReplyToken token) {
  submissions_.at(token).forgotten = true;
}

std::optional<cell::CallReply> InvariantChecker::ReplyTo(
    cell::ReplyToken token) const {
  const auto found = submissions_.find(token);
  return found == submissions_.end() ? std::nullopt : found->second.reply;
}

void InvariantChecker::OnReply(cell::ReplyToken token,
                               const cell::CallReply& reply) {
  const auto found = submissions_.find(token);
  if (found == submissions_.end())
    return;  // A cancellation, or a removed call.
  Submission& submission = found->second;
  Check(!submission.reply, submission.call, "a token got two replies");
  Check(!submission.forgotten, submission.call,
        "a forgotten token got a reply");
  submission.reply = reply;
  CallHistory& call = calls_.at(submission.call);
  std::visit(Overloaded{[&](const Answer& answer) { OnAnswer(call, answer); },
                        [&](const Refusal& refusal) {
                          OnRefusal(call, submission, refusal);
                        },
                        [](const cell::CallStatus&) {},
                        [](const cell::CallAcceptedReply&) {}},
             reply);
}

bool InvariantChecker::ForbidsLaterRun(const CallHistory& call) const {
  if (!call.final_not_run) return false;
  return call.submissions == 1 ||
         call.request.idempotence == Idempotence::kNonIdempotent;
}

void InvariantChecker::OnAnswer(CallHistory& call, const Answer& answer) {
  ++counts.answers;
  const CallRequest& request = call.request;
  Check(answer.body == ToString(request.id) + " by " + request.body, request.id,
        "a call got the answer of another");
  Check(!call.started.empty(), request.id, "an answer came without a run");
  Check(!ForbidsLaterRun(call), request.id, "an answer followed a not_run");
  call.answer = answer;
}

void InvariantChecker::OnRefusal(CallHistory& call,
                                 const Submission& submission,
                                 const Refusal& refusal) {
  switch (refusal.verdict) {
    case Verdict::kNotRun:
      ++counts.not_run;
      CheckNotRun(call, submission, refusal.reason);
      break;
    case Verdict::kMayHaveRun:
      ++counts.may_have_run;
      break;
    case Verdict::kRan:
      ++counts.ran;
      Check(!call.started.empty(), submission.call,
            "reported as ran, but never started");
      break;
  }
}

void InvariantChecker::CheckNotRun(const CallHistory& call,
                                   const Submission& submission,
                                   Reason reason) {
  for (const auto& [attempt, workers] : call.started) {
    Check(attempt.epoch != submission.owner, submission.call,
          "an owner reported not_run for a call that it ran");
  }
  // After a refusal at admission the same call may be submitted again and run.
  const bool is_outcome =
      reason == Reason::kCancelled || reason == Reason::kDeadlinePassed;
  const bool only_one = call.submissions == 1;
  const bool once = call.request.idempotence == Idempotence::kNonIdempotent;
  if (!is_outcome || !(once || (only_one && IsRecorded(call.request)))) return;
  Check(call.started.empty(), submission.call,
        "reported as not_run, but it was run");
  calls_.at(submission.call).final_not_run = true;
}

void InvariantChecker::OnTaskHeld(const cell::TaskOrder& order) {
  const auto found = calls_.find(order.task.call);
  if (found == calls_.end()) return;
  found->second.held[{order.task.attempt, order.epoch}].insert(
      order.task.worker);
}

void InvariantChecker::OnTaskStarted(const cell::TaskOrder& order,
                                     Epoch requester, Epoch highest) {
  ++counts.starts;
  const CallId id = order.task.call;
  Check(requester >= highest, id, "a replaced owner started a task");
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  CallHistory& call = found->second;
  const AttemptKey key{order.task.attempt, order.epoch};
  const AttemptKey released{order.task.attempt, requester};
  Check(call.held[released].size() == order.gang_workers, id,
        "a part of a gang ran before all of it was held");
  Check(!ForbidsLaterRun(call), id, "a call ran after a not_run");
  const bool first = call.started[key].insert(order.task.worker).second;
  const bool once = call.request.idempotence == Idempotence::kNonIdempotent;
  if (!once) return;
  Check(first, id, "a part of a non-idempotent call ran twice");
  Check(call.started.size() == 1, id, "a non-idempotent call ran twice");
}

void InvariantChecker::RemoveCall(const CallId& call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  for (const cell::ReplyToken token : found->second.tokens) {
    submissions_.erase(token);
  }
  calls_.erase(found);
}

}  // namespace jasminespar::cell_model
