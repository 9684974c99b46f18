/// @file
/// The truth about what ran, kept outside of any task's life.

#ifndef JASMINESPAR_STANDINS_RUN_RECORD_H_
#define JASMINESPAR_STANDINS_RUN_RECORD_H_

#include <cstdint>
#include <optional>

#include "jasminespar/cell/task.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::standins {

/// One start of one part of a gang; survives restarts of its worker.
struct RunRecord {
  CellId cell;
  cell::TaskRef task;
  std::uint32_t rank = 0;
  std::uint32_t gang_workers = 1;
  TimePoint started;
  std::optional<TimePoint> ended;
  cell::TaskState state = cell::TaskState::kRunning;
};

/// One accepted order of a task that the worker did not know.
struct OrderRecord {
  cell::TaskRef task;
  TimePoint accepted;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_RUN_RECORD_H_
