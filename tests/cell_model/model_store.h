/// @file
/// In-memory journal of one cell, as the platform's table stores it: each write
/// is conditional on the owner's epoch.

#ifndef JASMINESPAR_TESTS_CELL_MODEL_MODEL_STORE_H_
#define JASMINESPAR_TESTS_CELL_MODEL_MODEL_STORE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "jasminespar/cell/journal_record.h"

namespace jasminespar::cell_model {

/// Records of one write. A snapshot replaces all earlier records.
struct Batch {
  std::vector<cell::JournalRecord> records;
  bool is_snapshot = false;
  Sequence through;
};

class ModelStore {
 public:
  /// Claims the cell for a new owner, which recovers from `records`.
  /// @return the new epoch.
  Epoch Claim() {
    ++epoch_.durable;
    return epoch_;
  }

  /// @return false, without effect, if `epoch` is not the current epoch.
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
