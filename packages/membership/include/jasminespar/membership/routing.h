/// @file
/// Chooses the cell of a call and the instance to which it goes.

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

/// A cell that may take the call, with its capacity.
struct WeightedCell {
  CellId cell;
  double weight = 0;  ///< Accelerators; a cell with 0 is never chosen.
};

/// Weighted rendezvous: equal ids meet in one cell on every instance, and each
/// cell gets calls in proportion to its weight.
/// @return the home cell, or nothing when no cell has weight.
[[nodiscard]] std::optional<CellId> HomeCell(
    const CallId& id, const std::vector<WeightedCell>& allowed);

struct RoutingSettings {
  std::uint32_t max_hops = 2;    ///< Forwards of one call, at most.
  Duration retry_after = 500ms;  ///< Told with a refusal for want of an owner.
};

/// This instance owns the cell.
struct ServeHere {
  CellId cell;
  Epoch epoch;
};

struct Forward {
  InstanceId instance;
  configuration::Address peer;
  CellId cell;
  /// Under which the instance is thought to own the cell; zero for an instance
  /// that is asked to forward the call again.
  Epoch epoch;
};

/// The call was not run.
struct RefuseRoute {
  Refusal refusal;
};

using RouteDecision = std::variant<ServeHere, Forward, RefuseRoute>;

/// In a partial view the owner of a remote cell may be unknown; the first hop
/// then goes to an instance of the cell's data centre, which knows the owner.
/// @param hops how often the call was forwarded so far.
[[nodiscard]] RouteDecision Route(const RoutingSettings& settings,
                                  const View& view, const CellId& cell,
                                  std::uint32_t hops);

/// Load of a cell as last heard.
struct CellLoad {
  scheduling::LoadSummary load;
  Duration age{};  ///< Of this knowledge.
};

enum class CellChoice : std::uint8_t { kHome, kOther };

inline constexpr NameTable<CellChoice, 2> kCellChoiceNames{{
    {CellChoice::kHome, "home", "The call stays in its home cell."},
    {CellChoice::kOther, "other", "The call spills to the other cell."},
}};
static_assert(IsDense(kCellChoiceNames));

/// Chooses between two cells by expected start. A call stays in its home cell
/// unless the other one is expected to start it earlier. The older the
/// knowledge, the fewer of the calls leave, so that a queue that was short
/// seconds ago does not attract every caller at once.
/// @param accelerators size of the gang.
/// @param draw uniform in [0, 1); spreads the choice when both look alike.
[[nodiscard]] CellChoice ChooseCell(const CellLoad& home, const CellLoad& other,
                                    int accelerators, double draw);

}  // namespace jasminespar::membership

#endif  // JASMINESPAR_MEMBERSHIP_ROUTING_H_
