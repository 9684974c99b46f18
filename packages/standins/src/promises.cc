#include "jasminespar/standins/promises.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace jasminespar::standins {

using cell::TaskState;

namespace {

using RunsOfCall = std::vector<const ObservedRun*>;

/// The parts of one attempt.
struct AttemptParts {
  std::uint32_t gang_workers = 1;
  std::set<std::uint32_t> started;    ///< Ranks.
  std::set<std::uint32_t> succeeded;  ///< Ranks.
  std::int64_t longest_ms = 0;

  [[nodiscard]] bool IsComplete() const {
    return started.size() == gang_workers;
  }
};

/// An idempotent call may run in its home cell and, while that is cut off, in
/// a local one; each numbers its attempts from 1.
using AttemptKey = std::pair<CellId, std::uint64_t>;

std::map<AttemptKey, AttemptParts> GroupAttempts(const RunsOfCall& runs) {
  std::map<AttemptKey, AttemptParts> attempts;
  for (const ObservedRun* run : runs) {
    AttemptParts& parts = attempts[{run->cell, run->attempt}];
    parts.gang_workers = run->gang_workers;
    parts.started.insert(run->rank);
    if (run->state == TaskState::kSucceeded) parts.succeeded.insert(run->rank);
    const std::int64_t end = run->ended_ms.value_or(run->started_ms);
    parts.longest_ms = std::max(parts.longest_ms, end - run->started_ms);
  }
  return attempts;
}

/// Judges one call.
class CallCheck {
 public:
  CallCheck(const CallRecord& record, const RunsOfCall& runs,
            Duration partial_bound, std::vector<Breach>& breaches)
      : record_(record),
        runs_(runs),
        attempts_(GroupAttempts(runs)),
        partial_bound_(partial_bound),
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
  void Add(Promise promise, const std::string& what) {
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
        Add(Promise::kOneOutcome, "no outcome, last " + record_.reason);
        break;
      case CallerOutcome::kWrongAnswer:
        Add(Promise::kOwnWholeAnswer, record_.reason);
        break;
    }
    if (record_.changed) Add(Promise::kStableOutcome, "outcome changed");
  }

  // Loads use only what the first note added, and nothing withdraws it.
  void CheckNoteInForce() {
    if (record_.outcome == CallerOutcome::kRefused &&
        record_.reason.starts_with("unknown_")) {
      Add(Promise::kNoteInForce, record_.reason);
    }
  }

  void CheckNotRun() {
    const bool never_run = record_.outcome == CallerOutcome::kRefused &&
                           record_.not_run == record_.sends;
    if (never_run && !runs_.empty()) {
      Add(Promise::kNotRunTrue,
          record_.reason + ", starts " + std::to_string(runs_.size()));
    }
  }

  void CheckAtMostOnce() {
    if (record_.plan.idempotence != Idempotence::kNonIdempotent) return;
    std::map<std::uint32_t, int> starts;
    for (const ObservedRun* run : runs_) {
      if (++starts[run->rank] == 2) {
        Add(Promise::kAtMostOnce, "rank " + std::to_string(run->rank) +
                                      " again on worker " +
                                      std::to_string(run->worker));
      }
    }
  }

  /// @return the workers' records of the call, for whoever looks for the cause.
  [[nodiscard]] std::string RunsText() const {
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
    if (!ran) Add(Promise::kAnswerRan, "no whole gang succeeded" + RunsText());
  }

  void CheckWholeGang() {
    for (const auto& [key, parts] : attempts_) {
      if (parts.IsComplete()) continue;
      if (parts.longest_ms <= ToMilliseconds(partial_bound_)) continue;
      Add(Promise::kWholeGang, "attempt " + std::to_string(key.second) +
                                   " ran " + std::to_string(parts.longest_ms) +
                                   " ms with " +
                                   std::to_string(parts.started.size()) +
                                   " of " + std::to_string(parts.gang_workers));
    }
  }

  const CallRecord& record_;
  const RunsOfCall& runs_;
  std::map<AttemptKey, AttemptParts> attempts_;
  Duration partial_bound_;
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
                                  Duration partial_bound) {
  std::map<CallId, RunsOfCall> by_call;
  for (const ObservedRun& run : runs) by_call[run.call].push_back(&run);
  std::vector<Breach> breaches;
  for (const CallRecord& record : records) {
    CallCheck(record, by_call[record.id], partial_bound, breaches).Check();
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
