#include "jasminespar/configuration/note_commit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::configuration {
namespace {

struct PendingWrite {
  NoteId note;
  Revision base;
};

/// A store that loses replies and delays some writes.
class FaultyStore {
 public:
  explicit FaultyStore(std::mt19937& random) : random_(random) {}

  WriteResult Write(const NoteId& note, Revision base) {
    switch (random_() % 6) {
      case 0:
        return WriteResult::kNotDone;
      case 1:
        return WriteResult::kUnknown;  // The request was lost.
      case 2:
        delayed_.push_back({note, base});
        return WriteResult::kUnknown;
      case 3:
        static_cast<void>(Apply({note, base}));
        return WriteResult::kUnknown;  // The reply was lost.
      default:
        return Apply({note, base}) ? WriteResult::kCommitted
                                   : WriteResult::kConditionFailed;
    }
  }

  std::optional<ReadBackResult> Read(Revision revision) {
    if (random_() % 4 == 0) return std::nullopt;
    ReadBackResult read{newest(), std::nullopt};
    if (revision <= newest()) read.note = history_[revision.value - 1];
    return read;
  }

  void MaybeApplyDelayedWrite() {
    if (delayed_.empty() || random_() % 4 != 0) return;
    const PendingWrite write = delayed_.back();
    delayed_.pop_back();
    static_cast<void>(Apply(write));
  }

  void ApplyDelayedWrites() {
    for (const PendingWrite& write : delayed_) {
      static_cast<void>(Apply(write));
    }
  }

  [[nodiscard]] Revision newest() const { return {history_.size()}; }
  [[nodiscard]] const std::vector<NoteId>& history() const { return history_; }

 private:
  bool Apply(const PendingWrite& write) {
    if (write.base != newest()) return false;
    history_.push_back(write.note);
    return true;
  }

  std::mt19937& random_;
  std::vector<NoteId> history_;  // The note of revision i + 1.
  std::vector<PendingWrite> delayed_;
};

/// Submission of one note, advanced one step at a time.
struct Request {
  NoteId id;
  NoteCommit commit;
  NoteStep step;
};

bool IsFinal(const NoteStep& step) {
  return !std::holds_alternative<WriteNote>(step) &&
         !std::holds_alternative<ReadBack>(step);
}

void Advance(Request& request, FaultyStore& store) {
  const NoteStep step = request.step;
  if (const auto* write = std::get_if<WriteNote>(&step)) {
    request.step = request.commit.OnWrite(store.Write(request.id, write->base));
  } else if (const auto* read = std::get_if<ReadBack>(&step)) {
    request.step = request.commit.OnRead(store.Read(read->revision));
  }
}

/// @return the inconsistency between the outcome of a request and the history,
/// or empty.
std::string CheckOutcome(const Request& request,
                         const std::vector<NoteId>& history) {
  const auto times = std::count(history.begin(), history.end(), request.id);
  if (times > 1) return "applied twice";
  return std::visit(
      Overloaded{
          [&](const NoteAccepted& accepted) -> std::string {
            const bool in_history =
                accepted.revision.value <= history.size() &&
                history[accepted.revision.value - 1] == request.id;
            return in_history ? "" : "accepted but not in force";
          },
          [&](const NoteConflict&) -> std::string {
            return times == 0 ? "" : "conflict but in force";
          },
          [&](const NoteUnresolved& unresolved) -> std::string {
            const bool not_run = unresolved.verdict == Verdict::kNotRun;
            return not_run && times > 0 ? "not_run but in force" : "";
          },
          [](const auto&) -> std::string { return "not finished"; },
      },
      request.step);
}

/// Runs rounds of concurrent requests, each with a new note on the newest base.
/// @return the first inconsistency, or empty.
std::string RunRace(unsigned seed, LostAnswerRule rule, int& accepted) {
  std::mt19937 random(seed);
  FaultyStore store(random);
  std::vector<Request> requests;
  for (int round = 0; round < 20; ++round) {
    const Revision base = store.newest();
    std::vector<Request> racing;
    for (int i = 0; i < 3; ++i) {
      const NoteId id{std::to_string(round) + "-" + std::to_string(i)};
      NoteCommit commit(id, base, 6, rule);
      const NoteStep first = commit.Start();
      racing.push_back({id, commit, first});
    }
    for (int steps = 0; steps < 100; ++steps) {
      Advance(racing[random() % racing.size()], store);
      store.MaybeApplyDelayedWrite();
    }
    for (Request& request : racing) {
      while (!IsFinal(request.step)) Advance(request, store);
      requests.push_back(request);
    }
  }
  store.ApplyDelayedWrites();
  for (const Request& request : requests) {
    accepted += std::holds_alternative<NoteAccepted>(request.step) ? 1 : 0;
    const std::string error = CheckOutcome(request, store.history());
    if (!error.empty()) return request.id.value + " " + error;
  }
  return {};
}

TEST_CASE(
    "of racing notes with lost and late writes one winner is applied once") {
  int accepted = 0;
  for (unsigned seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    REQUIRE(RunRace(seed, LostAnswerRule::kReadBack, accepted).empty());
  }
  CHECK(accepted > 5'000);
}

TEST_CASE("mutation: retrying a write without reading back is detected") {
  int caught = 0;
  int accepted = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    caught +=
        RunRace(seed, LostAnswerRule::kRetryWrite, accepted).empty() ? 0 : 1;
  }
  CHECK(caught == 20);
}

TEST_CASE("a note that is sent again after a lost answer is accepted once") {
  NoteCommit again({"n"}, {4}, 3);
  CHECK(std::holds_alternative<WriteNote>(again.Start()));
  CHECK(again.OnWrite(WriteResult::kConditionFailed) ==
        NoteStep(ReadBack{{5}}));
  CHECK(again.OnRead(ReadBackResult{{9}, NoteId{"n"}}) ==
        NoteStep(NoteAccepted{{5}}));
}

TEST_CASE("a store that never answers leaves the note unresolved") {
  NoteCommit refused({"n"}, {0}, 2);
  static_cast<void>(refused.Start());
  static_cast<void>(refused.OnWrite(WriteResult::kNotDone));
  CHECK(refused.OnWrite(WriteResult::kNotDone) ==
        NoteStep(NoteUnresolved{Verdict::kNotRun}));
  NoteCommit unknown({"n"}, {0}, 1);
  static_cast<void>(unknown.Start());
  CHECK(unknown.OnWrite(WriteResult::kUnknown) ==
        NoteStep(NoteUnresolved{Verdict::kMayHaveRun}));
  NoteCommit compacted({"n"}, {0}, 2);
  static_cast<void>(compacted.Start());
  static_cast<void>(compacted.OnWrite(WriteResult::kConditionFailed));
  CHECK(compacted.OnRead(ReadBackResult{{9}, std::nullopt}) ==
        NoteStep(NoteUnresolved{Verdict::kMayHaveRun}));
}

}  // namespace
}  // namespace jasminespar::configuration
