/// @file
/// Checks the replies that clients received against what ran on the workers.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_INVARIANT_CHECKER_H_
#define JASMINESPAR_TESTS_CELL_MODEL_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminespar/cell/messages.h"

namespace jasminespar::cell_model {

/// Counts of the events of one simulation. A run in which the important events
/// do not occur proves little.
struct EventCounts {
  std::uint64_t calls = 0;
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t ran = 0;
  std::uint64_t stale_messages = 0;
  std::uint64_t retries = 0;
  std::uint64_t owners = 0;
  std::uint64_t takeovers_from_live_owner = 0;
  std::uint64_t fenced = 0;    ///< Writes rejected for a replaced epoch.
  std::uint64_t restarts = 0;  ///< Of workers.
};

/// Each member throws std::logic_error when a guarantee is violated.
class InvariantChecker {
 public:
  void OnSubmit(const CallRequest& request, cell::ReplyToken token,
                Epoch owner);
  void OnLookUp(const CallRequest& request, cell::ReplyToken token,
                Epoch owner);
  /// The client has closed the connection of this token.
  void OnForgetToken(cell::ReplyToken token);
  void OnReply(cell::ReplyToken token, const cell::CallReply& reply);

  void OnTaskHeld(const cell::TaskOrder& order);
  /// @param requester epoch whose order or release starts the task.
  /// @param highest highest epoch that the worker has received.
  void OnTaskStarted(const cell::TaskOrder& order, Epoch requester,
                     Epoch highest);

  /// @return the reply to the token, or nullopt if there is none yet.
  [[nodiscard]] std::optional<cell::CallReply> ReplyTo(
      cell::ReplyToken token) const;
  /// @throws std::logic_error that names `rule` and `call` unless `holds`.
  void Check(bool holds, const CallId& call, const std::string& rule) const;

  /// Removes the history of a call whose client has finished.
  void RemoveCall(const CallId& call);

  EventCounts counts;

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
    bool final_not_run = false;  ///< A client got not_run as the outcome.
  };

  /// @return whether not_run was reported as an outcome that no later run may
  ///     contradict.
  [[nodiscard]] bool ForbidsLaterRun(const CallHistory& call) const;
  void CheckNotRun(const CallHistory& call, const Submission& submission,
                   Reason reason);
  void OnAnswer(CallHistory& call, const Answer& answer);
  void OnRefusal(CallHistory& call, const Submission& submission,
                 const Refusal& refusal);

  std::map<cell::ReplyToken, Submission> submissions_;
  std::map<CallId, CallHistory> calls_;
};

/// @return the body of the answer that a worker gives to the order.
[[nodiscard]] std::string AnswerBody(const cell::TaskOrder& order);

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_INVARIANT_CHECKER_H_
