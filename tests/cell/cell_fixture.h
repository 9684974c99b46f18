/// @file
/// One cell under test, with the messages of its workers and its journal
/// written by hand.

#ifndef JASMINESPAR_TESTS_CELL_CELL_FIXTURE_H_
#define JASMINESPAR_TESTS_CELL_CELL_FIXTURE_H_

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminespar/cell/cell.h"

namespace jasminespar::cell {

inline constexpr int kAcceleratorsPerWorker = 2;
inline const ClientAccountId kAccount{"school"};

inline configuration::CellTopology MakeTopology(std::uint64_t workers) {
  configuration::CellTopology topology{{"dc-a/0"}, {}};
  for (std::uint64_t i = 1; i <= workers; ++i) {
    configuration::Worker worker;
    worker.id = WorkerId{i};
    worker.data_centre = {"dc-a"};
    worker.accelerators = kAcceleratorsPerWorker;
    topology.workers.push_back(std::move(worker));
  }
  return topology;
}

inline configuration::CellShare MakeShare() {
  configuration::ClientAccount account;
  account.id = kAccount;
  return {Revision{1}, {account}};
}

inline CallRequest MakeRequest(const std::string& key, Idempotence idempotence,
                               int accelerators = 1) {
  CallRequest request;
  request.key = {kAccount, {"matching"}, key};
  request.id = IdOf(request.key);
  request.idempotence = idempotence;
  request.gang.accelerators = accelerators;
  request.time_left = 60s;
  request.body = "body of " + key;
  return request;
}

/// Drives one cell and keeps the effects of the latest input.
class CellFixture {
 public:
  explicit CellFixture(std::uint64_t workers = 2, CellSettings settings = {},
                       RecoveredState recovered = {}, Epoch epoch = {1, 0},
                       bool report = true)
      : cell_(settings, epoch, MakeTopology(workers), MakeShare(),
              std::move(recovered), Now{now_, wall()}),
        epoch_(epoch) {
    for (std::uint64_t i = 1; report && i <= workers; ++i) Report(i, {});
  }

  void Give(Input input) {
    effects_ = cell_.Handle(std::move(input), Now{now_, wall()});
    for (const Effect& effect : effects_) Note(effect);
  }

  /// Lets time pass, with a tick whenever the cell wants one.
  void Pass(Duration time) {
    const TimePoint end = now_ + time;
    std::vector<Effect> all;
    while (const auto next = cell_.NextTick(now_)) {
      if (*next > end) break;
      now_ = std::max(now_, *next);
      Give(Tick{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    now_ = end;
    effects_ = std::move(all);
  }

  ReplyToken Submit(CallRequest request) {
    const ReplyToken token{0, ++last_token_};
    Give(SubmitCall{token, std::move(request)});
    return token;
  }

  void Durable() { Give(JournalDurable{appended_}); }

  void Word(const TaskRef& task, TaskState state,
            std::optional<Answer> answer = std::nullopt) {
    Give(TaskUpdate{task, epoch_, state, std::move(answer)});
  }
  void Succeed(const TaskRef& task) {
    Word(task, TaskState::kSucceeded, Answer{200, "done"});
  }
  void Report(std::uint64_t worker, std::vector<ReportedTask> tasks) {
    Give(WorkerReported{WorkerId{worker}, false, std::move(tasks)});
  }

  /// @return the effects of one kind from the latest input.
  template <typename Kind>
  std::vector<Kind> Of() const {
    std::vector<Kind> found;
    for (const Effect& effect : effects_) {
      if (const Kind* match = std::get_if<Kind>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template <typename Kind>
  std::size_t Count() const {
    return Of<Kind>().size();
  }

  /// @return the only reply that the token ever got, as `Kind`.
  template <typename Kind>
  std::optional<Kind> ReplyTo(ReplyToken token) const {
    std::optional<Kind> found;
    int replies = 0;
    for (const SendReply& reply : replies_) {
      if (reply.token != token) continue;
      ++replies;
      if (const Kind* kind = std::get_if<Kind>(&reply.reply)) found = *kind;
    }
    return replies == 1 ? found : std::nullopt;
  }
  bool HasReply(ReplyToken token) const {
    return ReplyTo<Answer>(token) || ReplyTo<Refusal>(token) ||
           ReplyTo<CallStatus>(token) || ReplyTo<CallAcceptedReply>(token);
  }

  /// @return everything appended so far, as a later owner may read it.
  RecoveredState Journal() const { return {journal_}; }

  Cell& cell() { return cell_; }
  TimePoint now() const { return now_; }

 private:
  WallTime wall() const {
    return {1'000'000 + ToMilliseconds(now_.time_since_epoch())};
  }

  void Note(const Effect& effect) {
    if (const auto* reply = std::get_if<SendReply>(&effect)) {
      replies_.push_back(*reply);
    } else if (const auto* append = std::get_if<AppendJournal>(&effect)) {
      appended_ = append->sequence;
      journal_.push_back(append->record);
    }
  }

  TimePoint now_{1s};
  Cell cell_;
  Epoch epoch_;
  Sequence appended_;
  std::uint64_t last_token_ = 0;
  std::vector<Effect> effects_;
  std::vector<SendReply> replies_;
  std::vector<JournalRecord> journal_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_TESTS_CELL_CELL_FIXTURE_H_
