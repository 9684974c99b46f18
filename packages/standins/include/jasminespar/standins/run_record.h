/// @file
/// Records of runs and orders, kept after their tasks are removed.

#ifndef JASMINESPAR_STANDINS_RUN_RECORD_H_
#define JASMINESPAR_STANDINS_RUN_RECORD_H_

#include <cstdint>
#include <optional>

#include "jasminespar/cell/task.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// One run of one task of a gang; kept over restarts of its worker.
struct RunRecord {
  CellId cell;
  cell::TaskRef task;
  std::uint32_t rank = 0;
  std::uint32_t gang_workers = 1;
  TimePoint started;
  std::optional<TimePoint> ended;  ///< Nothing while it runs.
  cell::TaskState state = cell::TaskState::kRunning;
};

/// The first accepted order of a task.
struct OrderRecord {
  cell::TaskRef task;
  TimePoint accepted;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RUN_RECORD_H_
