/// @file
/// The platform's table as far as one cell's journal needs it: writes that are
/// conditional on the owner's epoch.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_STORE_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_STORE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "jasminespar/cell/journal_record.h"

namespace jasminespar::cell_model {

/// Records of one write; a snapshot replaces everything before it.
struct Batch {
  std::vector<cell::JournalRecord> records;
  bool is_snapshot = false;
  Sequence through;
};

class ModelStore {
 public:
  /// Takes the cell over.
  /// @return the new epoch; the journal is then in `records`.
  Epoch Claim() {
    ++epoch_.durable;
    return epoch_;
  }

  /// @return false, with no effect, when the epoch has been replaced.
  bool Write(Epoch epoch, const Batch& batch) {
    if (epoch != epoch_) return false;
    if (batch.is_snapshot) records_.clear();
    records_.insert(records_.end(), batch.records.begin(), batch.records.end());
    return true;
  }

  [[nodiscard]] const std::vector<cell::JournalRecord>& records() const {
    return records_;
  }
  [[nodiscard]] Epoch epoch() const { return epoch_; }

  [[nodiscard]] bool available() const { return available_; }
  void set_available(bool available) { available_ = available; }

 private:
  Epoch epoch_;
  std::vector<cell::JournalRecord> records_;
  bool available_ = true;
};

}  // namespace jasminespar::cell_model

#endif  // JASMINESPAR_TESTS_CELL_MODEL_MODEL_STORE_H_
