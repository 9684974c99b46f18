/// @file
/// The calls of one cell by id, the replies that wait for them, and for a
/// time the ids of calls whose outcome is no longer kept.

#ifndef JASMINESPAR_CELL_CALL_TABLE_H_
#define JASMINESPAR_CELL_CALL_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "call.h"

namespace jasminespar::cell {

/// What is remembered of a call after its retention.
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

  /// Drops an ended call but remembers its id until `until`.
  void Forget(const CallId& id, TimePoint until);
  /// Remembers the id of a call that an earlier owner has dropped.
  void Remember(const CallId& id, ForgottenCall call, TimePoint until);
  [[nodiscard]] const ForgottenCall* FindForgotten(const CallId& id) const;
  void PurgeForgotten(TimePoint now, std::size_t most);

  /// Registers that `token` waits in one of the call's lists.
  void Register(ReplyToken token, const CallId& id);
  /// Empties `waiters` and its registrations.
  /// @return what was in it.
  std::vector<ReplyToken> TakeWaiters(std::vector<ReplyToken>& waiters);
  /// Takes a token whose connection is gone out of its call.
  void Unregister(ReplyToken token);

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
