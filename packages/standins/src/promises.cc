#include "jasminespar/standins/promises.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace jasminespar::standins {

using cell::TaskState;

namespace {

using RunsOfCall = std::vector<const ObservedRun*>;

/// The tasks of one attempt.
struct AttemptTasks {
  std::uint32_t gang_workers = 1;
  std::set<std::uint32_t> started;    ///< Ranks.
  std::set<std::uint32_t> succeeded;  ///< Ranks.
  std::int64_t longest_ms = 0;        ///< Longest run of a task.

  [[nodiscard]] bool IsComplete() const {
    return started.size() == gang_workers;
  }
};

/// Cell and attempt. An idempotent call may run in its home cell and, while
/// that is unreachable, in a local cell; each cell numbers its attempts from 1.
using AttemptKey = std::pair<CellId, std::uint64_t>;

std::map<AttemptKey, AttemptTasks> GroupAttempts(const RunsOfCall& runs) {
  std::map<AttemptKey, AttemptTasks> attempts;
  for (const ObservedRun* run : runs) {
    AttemptTasks& tasks = attempts[{run->cell, run->attempt}];
    tasks.gang_workers = run->gang_workers;
    tasks.started.insert(run->rank);
    if (run->state == TaskState::kSucceeded) tasks.succeeded.insert(run->rank);
    const std::int64_t end = run->ended_ms.value_or(run->started_ms);
    tasks.longest_ms = std::max(tasks.longest_ms, end - run->started_ms);
  }
  return attempts;
}

/// Checks the promises of one call.
class CallChecker {
 public:
  CallChecker(const CallRecord& record, const RunsOfCall& runs,
              Duration incomplete_gang_limit, std::vector<Breach>& breaches)
      : record_(record),
        runs_(runs),
        attempts_(GroupAttempts(runs)),
        incomplete_gang_limit_(incomplete_gang_limit),
        breaches_(breaches) {}

  void Check() {
    CheckOutcome();
    CheckNoteInForce();
    CheckNotRun();
    CheckAtMostOnce();
    CheckAnswerRan();
    CheckWholeGang();
  }

 private:
  void AddBreach(Promise promise, const std::string& what) {
    breaches_.push_back({promise, ToString(record_.id) + " " +
                                      record_.plan.key.idempotency_key + ": " +
                                      what});
  }

  void CheckOutcome() {
    switch (record_.outcome) {
      case CallerOutcome::kAnswered:
      case CallerOutcome::kRefused:
        break;
      case CallerOutcome::kPending:
      case CallerOutcome::kNone:
        AddBreach(Promise::kOneOutcome, "no outcome, last " + record_.reason);
        break;
      case CallerOutcome::kWrongAnswer:
        AddBreach(Promise::kOwnWholeAnswer, record_.reason);
        break;
    }
    if (record_.outcome_changed) {
      AddBreach(Promise::kStableOutcome, "outcome changed");
    }
  }

  // Calls name only accounts and services that the first release note added,
  // and no later note withdraws them.
  void CheckNoteInForce() {
    if (record_.outcome == CallerOutcome::kRefused &&
        record_.reason.starts_with("unknown_")) {
      AddBreach(Promise::kNoteInForce, record_.reason);
    }
  }

  void CheckNotRun() {
    const bool never_run = record_.outcome == CallerOutcome::kRefused &&
                           record_.not_run == record_.sends;
    if (never_run && !runs_.empty()) {
      AddBreach(Promise::kNotRunTrue,
                record_.reason + ", starts " + std::to_string(runs_.size()));
    }
  }

  void CheckAtMostOnce() {
    if (record_.plan.idempotence != Idempotence::kNonIdempotent) return;
    std::map<std::uint32_t, int> starts;
    for (const ObservedRun* run : runs_) {
      if (++starts[run->rank] == 2) {
        AddBreach(Promise::kAtMostOnce, "rank " + std::to_string(run->rank) +
                                            " again on worker " +
                                            std::to_string(run->worker));
      }
    }
  }

  /// @return the recorded runs of the call, for the detail of a breach.
  [[nodiscard]] std::string FormatRuns() const {
    std::string text;
    for (const ObservedRun* run : runs_) {
      text += "; attempt " + std::to_string(run->attempt) + " worker " +
              std::to_string(run->worker) + " rank " +
              std::to_string(run->rank) + " of " +
              std::to_string(run->gang_workers) + " " +
              std::string(RowOf(cell::kTaskStateNames, run->state).name);
    }
    return text;
  }

  void CheckAnswerRan() {
    if (record_.outcome != CallerOutcome::kAnswered) return;
    const bool ran = std::any_of(attempts_.begin(), attempts_.end(),
                                 [](const auto& attempt) {
                                   return attempt.second.IsComplete() &&
                                          attempt.second.succeeded.contains(0);
                                 });
    if (!ran) {
      AddBreach(Promise::kAnswerRan, "no whole gang succeeded" + FormatRuns());
    }
  }

  void CheckWholeGang() {
    for (const auto& [key, tasks] : attempts_) {
      if (tasks.IsComplete()) continue;
      if (tasks.longest_ms <= ToMilliseconds(incomplete_gang_limit_)) continue;
      AddBreach(Promise::kWholeGang,
                "attempt " + std::to_string(key.second) + " ran " +
                    std::to_string(tasks.longest_ms) + " ms with " +
                    std::to_string(tasks.started.size()) + " of " +
                    std::to_string(tasks.gang_workers));
    }
  }

  const CallRecord& record_;
  const RunsOfCall& runs_;
  std::map<AttemptKey, AttemptTasks> attempts_;
  Duration incomplete_gang_limit_;
  std::vector<Breach>& breaches_;
};

ObservedRun ParseRun(const CallId& call, const nlohmann::json& body) {
  ObservedRun run;
  run.call = call;
  run.attempt = body.at("attempt");
  run.worker = body.at("worker");
  run.rank = body.at("rank");
  run.cell.value = body.at("cell");
  run.gang_workers = body.at("gang_workers");
  run.started_ms = body.at("started_ms");
  if (body.contains("ended_ms")) run.ended_ms = body.at("ended_ms");
  run.state =
      ParseName(cell::kTaskStateNames, body.at("state").get<std::string>())
          .value_or(TaskState::kRunning);
  return run;
}

}  // namespace

std::vector<ObservedRun> ParseRuns(const nlohmann::json& body) {
  std::vector<ObservedRun> runs;
  for (const nlohmann::json& worker : body.at("workers")) {
    for (const auto& [call, record] : worker.at("calls").items()) {
      const CallId id = ParseCallId(call).value_or(CallId{});
      for (const nlohmann::json& run : record.at("runs")) {
        runs.push_back(ParseRun(id, run));
      }
    }
  }
  return runs;
}

std::vector<Breach> CheckPromises(const std::vector<CallRecord>& records,
                                  const std::vector<ObservedRun>& runs,
                                  Duration incomplete_gang_limit) {
  std::map<CallId, RunsOfCall> by_call;
  for (const ObservedRun& run : runs) by_call[run.call].push_back(&run);
  std::vector<Breach> breaches;
  for (const CallRecord& record : records) {
    CallChecker(record, by_call[record.id], incomplete_gang_limit, breaches)
        .Check();
  }
  return breaches;
}

std::string FormatVerdicts(const std::vector<Breach>& breaches) {
  std::string text;
  for (const auto& row : kPromiseNames) {
    const auto is_of = [&row](const Breach& breach) {
      return breach.promise == row.value;
    };
    const auto count = std::count_if(breaches.begin(), breaches.end(), is_of);
    std::string name(row.name);
    name.resize(18, ' ');
    text += name;
    if (count == 0) {
      text += "held      " + std::string(row.help) + "\n";
      continue;
    }
    const auto first = std::find_if(breaches.begin(), breaches.end(), is_of);
    text += "BREACHED  " + std::to_string(count) +
            " times, first: " + first->detail + "\n";
  }
  return text;
}

}  // namespace jasminespar::standins
