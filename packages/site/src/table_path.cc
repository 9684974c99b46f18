#include "jasminespar/site/table_path.h"

namespace jasminespar::site {

TablePath TablePathChooser::Choose(const TableRequest& request, bool peer_ready,
                                   TimePoint now) noexcept {
  if (reached_ || !peer_ready) return TablePath::kDirect;
  const bool probe = std::holds_alternative<Watch>(request) &&
                     now - last_probe_ >= kProbeInterval;
  if (!probe) return TablePath::kThroughPeer;
  last_probe_ = now;
  return TablePath::kDirect;
}

void TablePathChooser::SeeStraight(const TableOutcome& outcome,
                                   TimePoint now) noexcept {
  const bool served = IsServed(outcome);
  if (reached_ && !served) failing_since_ = now;
  reached_ = served;
}

}  // namespace jasminespar::site
