/// @file
/// Numbers the records of one epoch and knows which are durable.

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

  /// Has `TakeDurable` give out `call` once `sequence` is durable. Sequences
  /// must be given in rising order.
  void Await(Sequence sequence, const CallId& call);

  /// Moves the durable mark forward; a lower one changes nothing.
  void MarkDurable(Sequence through);

  /// @return the next call whose awaited record is durable, or nothing.
  [[nodiscard]] std::optional<CallId> TakeDurable();

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
