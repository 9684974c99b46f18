/// @file
/// The calls of one cell by id, the reply tokens that wait for them, and, for a
/// limited time, the ids of calls whose outcome is no longer kept.

#ifndef JASMINESPAR_CELL_CALL_TABLE_H_
#define JASMINESPAR_CELL_CALL_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "call.h"

namespace jasminespar::cell {

/// What is kept of a call after the retention of its outcome.
struct ForgottenCall {
  ClientAccountId account;
  Verdict verdict = Verdict::kMayHaveRun;
};

class CallTable {
 public:
  [[nodiscard]] Call* Find(const CallId& id);

  /// @return the new call; references stay valid until `Erase`.
  Call& Insert(CallRequest request);
  void Erase(const CallId& id);

  /// Removes an ended call but keeps its id until `until`.
  /// @throws std::logic_error when the call is unknown or has not ended.
  void Forget(const CallId& id, TimePoint until);
  /// Keeps the id of a call whose retention passed before this owner began.
  void Remember(const CallId& id, ForgottenCall call, TimePoint until);
  [[nodiscard]] const ForgottenCall* FindForgotten(const CallId& id) const;
  /// Removes ids that are past their time, and the oldest ones above
  /// `max_entries`.
  void PurgeForgotten(TimePoint now, std::size_t max_entries);

  /// Records that `token` waits in one of the call's waiter lists.
  /// @throws std::logic_error when the token is registered already.
  void RegisterWaiter(ReplyToken token, const CallId& id);
  /// Removes all tokens from `waiters`, and their registrations.
  /// @return the removed tokens.
  std::vector<ReplyToken> TakeWaiters(std::vector<ReplyToken>& waiters);
  /// Removes a token whose connection closed from its call.
  void UnregisterWaiter(ReplyToken token);

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }
  [[nodiscard]] std::size_t waiting_replies() const noexcept {
    return tokens_.size();
  }
  [[nodiscard]] const std::unordered_map<CallId, Call>& calls() const noexcept {
    return calls_;
  }
  [[nodiscard]] std::vector<CallId> Ids() const;

 private:
  struct ForgottenAt {
    TimePoint until;
    CallId id;
  };

  std::unordered_map<CallId, Call> calls_;
  std::map<ReplyToken, CallId> tokens_;
  std::unordered_map<CallId, ForgottenCall> forgotten_;
  std::deque<ForgottenAt> forgotten_order_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_CALL_TABLE_H_
