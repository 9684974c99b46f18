#include "journal_writer.h"

#include <algorithm>
#include <utility>

#include "invariant.h"

namespace jasminespar::cell {

Sequence JournalWriter::Append(JournalRecord record, bool urgent,
                               EffectList& effects) {
  ++last_.value;
  effects.emplace_back(AppendJournal{last_, std::move(record), urgent});
  return last_;
}

void JournalWriter::Await(Sequence sequence, const CallId& call) {
  Require(awaited_.empty() || awaited_.back().sequence <= sequence,
          "awaited sequences must not decrease");
  awaited_.push_back({sequence, call});
}

void JournalWriter::MarkDurable(Sequence through) {
  Require(through <= last_, "a record was reported durable before its append");
  durable_ = std::max(durable_, through);
}

std::optional<CallId> JournalWriter::TakeDurableCall() {
  if (awaited_.empty() || !IsDurable(awaited_.front().sequence)) {
    return std::nullopt;
  }
  const CallId call = awaited_.front().call;
  awaited_.pop_front();
  return call;
}

}  // namespace jasminespar::cell
