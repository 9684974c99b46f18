/// @file
/// Which data centres are emptied, and until when that is known. Private to
/// this package.

#ifndef JASMINESPAR_JOBS_SRC_EVACUATIONS_H_
#define JASMINESPAR_JOBS_SRC_EVACUATIONS_H_

#include <map>
#include <optional>
#include <vector>

#include "jasminespar/jobs/evacuation.h"

namespace jasminespar::jobs {

/// A data centre that the operator has emptied or taken back.
struct EvacuationChange {
  DataCentreId data_centre;
  bool emptied = false;
  Duration lasted{};  ///< If it was taken back, since it was read as emptied.
};

class Evacuations {
 public:
  /// @param within time after which nothing may start in an emptied data
  ///     centre; zero: none is ever emptied, and nothing has to be read.
  explicit Evacuations(Duration within) : within_(within) {}

  /// Applies a complete reading; one that is not newer changes nothing.
  [[nodiscard]] std::vector<EvacuationChange> Apply(const EvacuationsRead& read,
                                                    TimePoint now);

  [[nodiscard]] bool in_use() const noexcept { return within_ > Duration{}; }
  [[nodiscard]] bool IsEmptied(const DataCentreId& data_centre) const {
    return emptied_.contains(data_centre);
  }
  /// @return until when starts may be sent under the last reading.
  [[nodiscard]] TimePoint KnownUntil() const noexcept;

 private:
  Duration within_;
  std::map<DataCentreId, TimePoint> emptied_;  ///< Since when, as read.
  std::optional<TimePoint> as_of_;             ///< Of the last reading.
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_SRC_EVACUATIONS_H_
