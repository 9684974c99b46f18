/// @file
/// Which instances may own the cells of which data centre.

#ifndef JASMINESPAR_MEMBERSHIP_CANDIDATES_H_
#define JASMINESPAR_MEMBERSHIP_CANDIDATES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// The candidates of one view, collected once for many cells.
class Candidates {
 public:
  /// @param view must outlive this object.
  explicit Candidates(const View& view);

  /// @return the live instances of the data centre. When it has none and the
  ///     platform's list vouches for none of its instances either, all live
  ///     instances: silence alone may be a partition, in which the data
  ///     centre serves its cells itself. When no instance is live anywhere,
  ///     those of the data centre that only the list calls leaving, so that a
  ///     wrong list cannot leave every cell without an owner.
  [[nodiscard]] const std::vector<InstanceId>& Of(
      const DataCentreId& data_centre) const;

  /// @return how many candidates rank before `instance` for the cell, or
  ///     nothing when it is no candidate.
  [[nodiscard]] std::optional<std::size_t> RankOf(
      const CellId& cell, const InstanceId& instance) const;

  /// @return the first-ranked candidate of the cell, or nothing.
  [[nodiscard]] std::optional<InstanceId> BestOf(const CellId& cell) const;

 private:
  struct DataCentre {
    std::vector<InstanceId> live;
    std::vector<InstanceId> unwanted;  ///< Alive; only the list says leaving.
    bool vouched_for = false;  ///< The list calls one of its instances live.
  };

  std::map<DataCentreId, DataCentre> data_centres_;
  std::vector<InstanceId> all_live_;
  std::vector<InstanceId> none_;
};

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_CANDIDATES_H_
