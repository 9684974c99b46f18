/// @file
/// The instances that may own the cells of each data centre.

#ifndef JASMINESPAR_MEMBERSHIP_CANDIDATES_H_
#define JASMINESPAR_MEMBERSHIP_CANDIDATES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// The candidates in one view, computed once for many cells.
class Candidates {
 public:
  /// @param view must outlive this object.
  explicit Candidates(const View& view);

  /// The candidates for the cells of a data centre, from the first of these
  /// rules that applies:
  /// - Its live instances, if it has any.
  /// - If no instance is live anywhere: its instances that only the platform's
  ///   list calls leaving, so that a wrong list cannot leave every cell without
  ///   an owner.
  /// - If the list calls none of its instances live: all live instances.
  /// - None. Missing heartbeats alone may mean a network partition, in which
  ///   the data centre serves its cells itself.
  ///
  /// @return a reference that is valid as long as this object.
  [[nodiscard]] const std::vector<InstanceId>& InDataCentre(
      const DataCentreId& data_centre) const;

  /// @return the number of candidates that rank before `instance` for the
  ///     cell, or nothing when it is not a candidate.
  [[nodiscard]] std::optional<std::size_t> RankOf(
      const CellId& cell, const InstanceId& instance) const;

  /// @return the first-ranked candidate for the cell, or nothing.
  [[nodiscard]] std::optional<InstanceId> BestOf(const CellId& cell) const;

 private:
  struct DataCentre {
    std::vector<InstanceId> live;
    std::vector<InstanceId> listed_leaving;  ///< Alive; by the list alone.
    bool has_listed_live = false;            ///< Per the platform's list.
  };

  std::map<DataCentreId, DataCentre> data_centres_;
  std::vector<InstanceId> all_live_;
  std::vector<InstanceId> none_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_CANDIDATES_H_
