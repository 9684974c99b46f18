#include "cell_model/auditor.h"

#include <stdexcept>
#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::cell_model {
namespace {

bool IsPromised(const CallRequest& request) {
  return request.idempotence == Idempotence::kNonIdempotent ||
         request.delivery == Delivery::kCollect;
}

}  // namespace

std::string AnswerTo(const cell::TaskOrder& order) {
  return ToString(order.task.call) + " by " + order.body;
}

void Auditor::Check(bool holds, const CallId& call,
                    const std::string& rule) const {
  if (!holds) throw std::logic_error("model: " + rule + ": " + ToString(call));
}

void Auditor::OnLookUp(const CallRequest& request, cell::ReplyToken token,
                       Epoch owner) {
  const auto [history, inserted] = calls_.try_emplace(request.id);
  if (inserted) {
    history->second.request = request;
    ++tally.calls;
  }
  history->second.tokens.insert(token);
  submissions_[token] = Submission{request.id, owner, {}, false};
}

void Auditor::OnSubmit(const CallRequest& request, cell::ReplyToken token,
                       Epoch owner) {
  OnLookUp(request, token, owner);
  ++calls_.at(request.id).submissions;
}

void Auditor::OnForget(cell::ReplyToken token) {
  submissions_.at(token).forgotten = true;
}

std::optional<cell::CallReply> Auditor::ReplyTo(cell::ReplyToken token) const {
  const auto found = submissions_.find(token);
  return found == submissions_.end() ? std::nullopt : found->second.reply;
}

void Auditor::OnReply(cell::ReplyToken token, const cell::CallReply& reply) {
  const auto found = submissions_.find(token);
  if (found == submissions_.end()) return;  // A look-up or retired call.
  Submission& submission = found->second;
  Check(!submission.reply, submission.call, "a token got two replies");
  Check(!submission.forgotten, submission.call, "a forgotten token got one");
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

bool Auditor::BindsForGood(const CallHistory& call) const {
  if (!call.promised_not_run) return false;
  return call.submissions == 1 ||
         call.request.idempotence == Idempotence::kNonIdempotent;
}

void Auditor::OnAnswer(CallHistory& call, const Answer& answer) {
  ++tally.answers;
  const CallRequest& request = call.request;
  Check(answer.body == ToString(request.id) + " by " + request.body, request.id,
        "a call got the answer of another");
  Check(!call.started.empty(), request.id, "an answer came without a run");
  Check(!BindsForGood(call), request.id, "an answer followed a not_run");
  call.answer = answer;
}

void Auditor::OnRefusal(CallHistory& call, const Submission& submission,
                        const Refusal& refusal) {
  switch (refusal.verdict) {
    case Verdict::kNotRun:
      ++tally.not_run;
      CheckNotRun(call, submission, refusal.reason);
      break;
    case Verdict::kMayHaveRun:
      ++tally.may_have_run;
      break;
    case Verdict::kRan:
      ++tally.ran;
      Check(!call.started.empty(), submission.call, "ran, but never started");
      break;
  }
}

void Auditor::CheckNotRun(const CallHistory& call, const Submission& submission,
                          Reason reason) {
  for (const auto& [attempt, workers] : call.started) {
    Check(attempt.epoch != submission.owner, submission.call,
          "an owner said not_run of a call that it ran");
  }
  // A refusal on admission binds nobody; the same call may be sent again.
  const bool is_outcome =
      reason == Reason::kCancelled || reason == Reason::kDeadlinePassed;
  const bool only_one = call.submissions == 1;
  const bool once = call.request.idempotence == Idempotence::kNonIdempotent;
  if (!is_outcome || !(once || (only_one && IsPromised(call.request)))) return;
  Check(call.started.empty(), submission.call, "not_run, but it was run");
  calls_.at(submission.call).promised_not_run = true;
}

void Auditor::OnHeld(const cell::TaskOrder& order) {
  const auto found = calls_.find(order.task.call);
  if (found == calls_.end()) return;
  found->second.held[{order.task.attempt, order.epoch}].insert(
      order.task.worker);
}

void Auditor::OnStart(const cell::TaskOrder& order, Epoch requester,
                      Epoch highest) {
  ++tally.starts;
  const CallId id = order.task.call;
  Check(requester >= highest, id, "a superseded owner started a task");
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  CallHistory& call = found->second;
  const AttemptKey key{order.task.attempt, order.epoch};
  const AttemptKey released{order.task.attempt, requester};
  Check(call.held[released].size() == order.gang_workers, id,
        "a part ran before its whole gang was held");
  Check(!BindsForGood(call), id, "a call ran after a not_run");
  const bool first = call.started[key].insert(order.task.worker).second;
  const bool once = call.request.idempotence == Idempotence::kNonIdempotent;
  if (!once) return;
  Check(first, id, "a part of a non-idempotent call ran twice");
  Check(call.started.size() == 1, id, "a non-idempotent call ran twice");
}

void Auditor::Retire(const CallId& call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  for (const cell::ReplyToken token : found->second.tokens) {
    submissions_.erase(token);
  }
  calls_.erase(found);
}

}  // namespace jasminespar::cell_model
