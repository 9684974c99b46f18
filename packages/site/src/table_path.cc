#include "jasminespar/site/table_path.h"

namespace jasminespar::site {

TablePath TablePathChooser::Choose(const TableRequest& request,
                                   bool relay_available,
                                   TimePoint now) noexcept {
  if (direct_path_served_ || !relay_available) return TablePath::kDirect;
  const bool probe = std::holds_alternative<Watch>(request) &&
                     now - last_probe_ >= kProbeInterval;
  if (!probe) return TablePath::kThroughPeer;
  last_probe_ = now;
  return TablePath::kDirect;
}

void TablePathChooser::RecordDirectOutcome(const TableOutcome& outcome,
                                           TimePoint now) noexcept {
  const bool served = IsServed(outcome);
  if (direct_path_served_ && !served) failing_since_ = now;
  direct_path_served_ = served;
}

}  // namespace jasminespar::site
