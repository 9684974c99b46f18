#include "jasminespar/configuration/revision_keeper.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace jasminespar::configuration {

RevisionKeeper::RevisionKeeper(RevisionRule rule) : rule_(rule) {}

RevisionOutcome RevisionKeeper::Offer(Configuration configuration) {
  const Revision offered = configuration.revision;
  Hear(offered);
  const bool rises = current_ == nullptr || offered > current_->revision;
  if (!rises && rule_ == RevisionRule::kOnlyRise) {
    return RevisionIgnored{offered, revision()};
  }
  current_ = std::make_shared<const Configuration>(std::move(configuration));
  return RevisionApplied{offered};
}

RevisionOutcome RevisionKeeper::Offer(const ReleaseNote& note) {
  const Revision offered{note.base.value + 1};
  Hear(offered);
  if (current_ == nullptr) return RevisionGap{};
  if (offered <= current_->revision) {
    return RevisionIgnored{offered, revision()};
  }
  std::optional<Configuration> next = Apply(*current_, note);
  if (!next) return RevisionGap{revision()};
  return Offer(std::move(*next));
}

void RevisionKeeper::Hear(Revision revision) {
  heard_ = std::max(heard_, revision);
}

Revision RevisionKeeper::revision() const noexcept {
  return current_ == nullptr ? Revision{} : current_->revision;
}

}  // namespace jasminespar::configuration
