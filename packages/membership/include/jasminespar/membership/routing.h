/// @file
/// Chooses the cell of a call and the instance that receives it.

#ifndef JASMINESPAR_MEMBERSHIP_ROUTING_H_
#define JASMINESPAR_MEMBERSHIP_ROUTING_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "jasminespar/core/call.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::membership {

/// A cell that may run the call, with its capacity.
struct WeightedCell {
  CellId cell;
  double weight = 0;  ///< Accelerators; a cell with 0 is never chosen.
};

/// Weighted rendezvous hashing: every instance chooses the same cell for the
/// same id, and each cell gets calls in proportion to its weight.
/// @return the home cell, or nothing when no cell has a positive weight.
[[nodiscard]] std::optional<CellId> HomeCell(
    const CallId& id, const std::vector<WeightedCell>& allowed);

struct RoutingSettings {
  std::uint32_t max_hops = 2;    ///< Limit of forwards of one call.
  Duration retry_after = 500ms;  ///< Sent to the caller with a refusal.
};

/// This instance owns the cell and serves the call.
struct ServeHere {
  CellId cell;
  Epoch epoch;
};

/// Send the call to another instance.
struct Forward {
  InstanceId instance;
  configuration::Address peer;
  CellId cell;
  /// Under which the view shows the instance as owner; zero when it is not the
  /// known owner and must forward the call again.
  Epoch epoch;
};

/// Refuse the call, which has not run.
struct RefuseRoute {
  Refusal refusal;
};

using RouteDecision = std::variant<ServeHere, Forward, RefuseRoute>;

/// Chooses the instance for a call to the cell. In a partial view the owner of
/// a remote cell may be unknown; the first hop then goes to an instance of the
/// cell's data centre, which knows the owner.
/// @param hops how often the call has been forwarded.
[[nodiscard]] RouteDecision Route(const RoutingSettings& settings,
                                  const View& view, const CellId& cell,
                                  std::uint32_t hops);

/// Load of a cell as last reported.
struct CellLoad {
  scheduling::LoadSummary load;
  Duration age{};  ///< Since the report.
};

enum class CellChoice : std::uint8_t { kHome, kOther };

inline constexpr NameTable<CellChoice, 2> kCellChoiceNames{{
    {CellChoice::kHome, "home", "The call stays in its home cell."},
    {CellChoice::kOther, "other", "The call spills to the other cell."},
}};
static_assert(IsDense(kCellChoiceNames));

/// Chooses between two cells by the expected start of a call. The call stays in
/// its home cell unless the other one is expected to start it earlier. The
/// older the reports, the smaller the share of calls that goes to the other
/// cell, so that a queue that was short seconds ago does not attract all calls
/// at once.
/// @param accelerators number that the call needs.
/// @param draw uniform in [0, 1); decides which calls belong to that share.
[[nodiscard]] CellChoice ChooseCell(const CellLoad& home, const CellLoad& other,
                                    int accelerators, double draw);

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_ROUTING_H_
