/// @file
/// Assigns sequence numbers to the records of one epoch and tracks which are
/// durable.

#ifndef JASMINESPAR_CELL_JOURNAL_WRITER_H_
#define JASMINESPAR_CELL_JOURNAL_WRITER_H_

#include <deque>
#include <optional>

#include "effect_list.h"
#include "jasminespar/cell/journal_record.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::cell {

class JournalWriter {
 public:
  /// @param urgent whether something waits for the record.
  /// @return its sequence; the first of an epoch is 1.
  Sequence Append(JournalRecord record, bool urgent, EffectList& effects);

  /// Makes `TakeDurableCall` return `call` once `sequence` is durable.
  /// @throws std::logic_error when `sequence` is lower than a pending one.
  void Await(Sequence sequence, const CallId& call);

  /// Advances the durable sequence; a lower one is ignored.
  /// @throws std::logic_error when `through` was not appended yet.
  void MarkDurable(Sequence through);

  /// Removes the next call whose awaited record is durable.
  /// @return that call, or nothing.
  [[nodiscard]] std::optional<CallId> TakeDurableCall();

  [[nodiscard]] bool IsDurable(Sequence sequence) const noexcept {
    return sequence <= durable_;
  }
  [[nodiscard]] Sequence last() const noexcept { return last_; }

 private:
  struct Awaited {
    Sequence sequence;
    CallId call;
  };

  Sequence last_;
  Sequence durable_;
  std::deque<Awaited> awaited_;
};

}  // namespace jasminespar::cell

#endif  // JASMINESPAR_CELL_JOURNAL_WRITER_H_
