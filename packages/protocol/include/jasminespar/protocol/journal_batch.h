/// @file
/// Rows of a cell's journal in the platform's store.
///
/// The journal is a ring of rows: batch n is written to slot
/// n mod kJournalSlots and replaces a batch that the snapshot covers, so that
/// no write is spent on deletion.

#ifndef JASMINESPAR_PROTOCOL_JOURNAL_BATCH_H_
#define JASMINESPAR_PROTOCOL_JOURNAL_BATCH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/cell/journal_record.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::protocol {

/// Number of rows of one cell's journal.
inline constexpr std::uint64_t kJournalSlots = 512;

/// One row: a batch of records of one owner.
struct JournalBatch {
  Epoch epoch;
  std::uint64_t number = 0;  ///< Consecutive over all epochs of the cell.
  std::vector<cell::JournalRecord> records;
};

/// Refers to the current snapshot, which covers all batches up to `through`.
struct SnapshotRow {
  std::string object_key;
  std::uint64_t through = 0;
  std::uint64_t digest = 0;  ///< Of the object's bytes.
};

[[nodiscard]] std::string Encode(const JournalBatch& batch);
[[nodiscard]] std::string Encode(const SnapshotRow& row);
[[nodiscard]] std::string Encode(
    const std::vector<cell::JournalRecord>& records);

/// @throws Error kMalformedRequest/kNotRun when the bytes are not exactly one
///     value of that type.
[[nodiscard]] JournalBatch DecodeJournalBatch(std::string_view bytes);
[[nodiscard]] SnapshotRow DecodeSnapshotRow(std::string_view bytes);
[[nodiscard]] std::vector<cell::JournalRecord> DecodeRecords(
    std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_JOURNAL_BATCH_H_
