#include "call_table.h"

#include <algorithm>
#include <utility>

#include "invariant.h"

namespace jasminespar::cell {

Call* CallTable::Find(const CallId& id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

Call& CallTable::Insert(CallRequest request) {
  const CallId id = request.id;
  const auto [entry, inserted] = calls_.try_emplace(id);
  Require(inserted, "a call is inserted once");
  entry->second.request = std::move(request);
  return entry->second;
}

void CallTable::Erase(const CallId& id) {
  const Call* call = Find(id);
  Require(call != nullptr, "only a known call is erased");
  Require(call->accept_waiters.empty() && call->outcome_waiters.empty(),
          "a call that owes a reply is not erased");
  Require(call->placement.parts.empty() && !call->run,
          "a call that occupies accelerators is not erased");
  calls_.erase(id);
}

void CallTable::Forget(const CallId& id, TimePoint until) {
  const Call* call = Find(id);
  Require(call != nullptr && call->outcome.has_value(),
          "only an ended call is forgotten");
  ForgottenCall forgotten{call->request.key.account, VerdictOf(*call)};
  if (std::holds_alternative<Answer>(*call->outcome)) {
    forgotten.verdict = Verdict::kRan;
  }
  Erase(id);
  Remember(id, std::move(forgotten), until);
}

void CallTable::Remember(const CallId& id, ForgottenCall call,
                         TimePoint until) {
  forgotten_.insert_or_assign(id, std::move(call));
  forgotten_order_.push_back({until, id});
}

const ForgottenCall* CallTable::FindForgotten(const CallId& id) const {
  const auto found = forgotten_.find(id);
  return found == forgotten_.end() ? nullptr : &found->second;
}

void CallTable::PurgeForgotten(TimePoint now, std::size_t max_entries) {
  while (!forgotten_order_.empty() && (forgotten_order_.front().until <= now ||
                                       forgotten_order_.size() > max_entries)) {
    forgotten_.erase(forgotten_order_.front().id);
    forgotten_order_.pop_front();
  }
}

void CallTable::RegisterWaiter(ReplyToken token, const CallId& id) {
  const bool inserted = tokens_.emplace(token, id).second;
  Require(inserted, "a reply token is used once");
}

std::vector<ReplyToken> CallTable::TakeWaiters(
    std::vector<ReplyToken>& waiters) {
  for (const ReplyToken& token : waiters) tokens_.erase(token);
  return std::exchange(waiters, {});
}

void CallTable::UnregisterWaiter(ReplyToken token) {
  const auto found = tokens_.find(token);
  if (found == tokens_.end()) return;
  Call& call = calls_.at(found->second);
  std::erase(call.accept_waiters, token);
  std::erase(call.outcome_waiters, token);
  tokens_.erase(found);
}

std::vector<CallId> CallTable::Ids() const {
  std::vector<CallId> ids;
  ids.reserve(calls_.size());
  for (const auto& [id, call] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace jasminespar::cell
