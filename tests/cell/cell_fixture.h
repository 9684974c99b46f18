/// @file
/// Fixture for one cell. The test supplies the messages of its workers and the
/// durability of its journal.

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

/// Drives one cell and keeps the effects of the latest input or time step.
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

  void Handle(Input input) {
    effects_ = cell_.Handle(std::move(input), Now{now_, wall()});
    for (const Effect& effect : effects_) Record(effect);
  }

  /// Advances time and sends a Tick whenever the cell requests one. Keeps the
  /// effects of all of them.
  void AdvanceTime(Duration time) {
    const TimePoint end = now_ + time;
    std::vector<Effect> all;
    while (const auto next = cell_.NextTick(now_)) {
      if (*next > end) break;
      now_ = std::max(now_, *next);
      Handle(Tick{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    now_ = end;
    effects_ = std::move(all);
  }

  ReplyToken Submit(CallRequest request) {
    const ReplyToken token{0, ++last_token_};
    Handle(SubmitCall{token, std::move(request)});
    return token;
  }

  void MakeDurable() { Handle(JournalDurable{appended_}); }

  void SendUpdate(const TaskRef& task, TaskState state,
                  std::optional<Answer> answer = std::nullopt) {
    Handle(TaskUpdate{task, epoch_, state, std::move(answer)});
  }
  void Succeed(const TaskRef& task) {
    SendUpdate(task, TaskState::kSucceeded, Answer{200, "done"});
  }
  void Report(std::uint64_t worker, std::vector<ReportedTask> tasks) {
    Handle(WorkerReported{WorkerId{worker}, false, std::move(tasks)});
  }

  /// @return the kept effects of one kind.
  template <typename Kind>
  std::vector<Kind> EffectsOf() const {
    std::vector<Kind> found;
    for (const Effect& effect : effects_) {
      if (const Kind* match = std::get_if<Kind>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template <typename Kind>
  std::size_t CountOf() const {
    return EffectsOf<Kind>().size();
  }

  /// @return the reply to the token, if it is the only one and of type `Kind`.
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

  /// @return all records appended so far, as the next owner reads them.
  RecoveredState Journal() const { return {journal_}; }

  Cell& cell() { return cell_; }
  TimePoint now() const { return now_; }

 private:
  WallTime wall() const {
    return {1'000'000 + ToMilliseconds(now_.time_since_epoch())};
  }

  void Record(const Effect& effect) {
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
