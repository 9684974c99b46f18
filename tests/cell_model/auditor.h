/// @file
/// Checks from outside: what ran on workers against what clients were told.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_AUDITOR_H_
#define JASMINESPAR_TESTS_CELL_MODEL_AUDITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/cell/messages.h"

namespace jasminespar::cell_model {

/// Counts of what a run of the model met; a run without them proves little.
struct Tally {
  std::uint64_t calls = 0;
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t ran = 0;
  std::uint64_t stale = 0;
  std::uint64_t retries = 0;
  std::uint64_t owners = 0;
  std::uint64_t takeovers_with_two = 0;
  std::uint64_t fenced = 0;
  std::uint64_t restarts = 0;
};

/// @throws std::logic_error from any member when a promise is broken.
class Auditor {
 public:
  void OnSubmit(const CallRequest& request, cell::ReplyToken token,
                Epoch owner);
  void OnLookUp(const CallRequest& request, cell::ReplyToken token,
                Epoch owner);
  /// The client no longer listens to this token.
  void OnForget(cell::ReplyToken token);
  void OnReply(cell::ReplyToken token, const cell::CallReply& reply);

  void OnHeld(const cell::TaskOrder& order);
  /// @param requester whose order or release starts the task.
  /// @param highest epoch that the worker has seen.
  void OnStart(const cell::TaskOrder& order, Epoch requester, Epoch highest);

  /// @return the token's reply, once there is one.
  [[nodiscard]] std::optional<cell::CallReply> ReplyTo(
      cell::ReplyToken token) const;
  void Check(bool holds, const CallId& call, const std::string& rule) const;

  /// Drops what is known of a call that nobody will ask for any more.
  void Retire(const CallId& call);

  Tally tally;

 private:
  struct Submission {
    CallId call;
    Epoch owner;
    std::optional<cell::CallReply> reply;
    bool forgotten = false;
  };
  struct AttemptKey {
    Attempt attempt;
    Epoch epoch;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct CallHistory {
    CallRequest request;
    std::set<cell::ReplyToken> tokens;
    int submissions = 0;
    std::map<AttemptKey, std::set<WorkerId>> held;
    std::map<AttemptKey, std::set<WorkerId>> started;
    std::optional<Answer> answer;
    bool promised_not_run = false;
  };

  /// @return whether a not_run was an outcome that no later run may break.
  [[nodiscard]] bool BindsForGood(const CallHistory& call) const;
  void CheckNotRun(const CallHistory& call, const Submission& submission,
                   Reason reason);
  void OnAnswer(CallHistory& call, const Answer& answer);
  void OnRefusal(CallHistory& call, const Submission& submission,
                 const Refusal& refusal);

  std::map<cell::ReplyToken, Submission> submissions_;
  std::map<CallId, CallHistory> calls_;
};

/// @return the answer that a worker gives to a call.
[[nodiscard]] std::string AnswerTo(const cell::TaskOrder& order);

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_AUDITOR_H_
