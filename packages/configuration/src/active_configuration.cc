#include "jasminespar/configuration/active_configuration.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace jasminespar::configuration {

ActiveConfiguration::ActiveConfiguration(RevisionRule rule) : rule_(rule) {}

RevisionOutcome ActiveConfiguration::Apply(Configuration configuration) {
  const Revision offered = configuration.revision;
  RecordKnownRevision(offered);
  const bool rises = current_ == nullptr || offered > current_->revision;
  if (!rises && rule_ == RevisionRule::kOnlyHigher) {
    return RevisionIgnored{offered, revision()};
  }
  current_ = std::make_shared<const Configuration>(std::move(configuration));
  return RevisionApplied{offered};
}

RevisionOutcome ActiveConfiguration::Apply(const ReleaseNote& note) {
  const Revision offered{note.base.value + 1};
  RecordKnownRevision(offered);
  if (current_ == nullptr) return RevisionGap{};
  if (offered <= current_->revision) {
    return RevisionIgnored{offered, revision()};
  }
  std::optional<Configuration> next = configuration::Apply(*current_, note);
  if (!next) return RevisionGap{revision()};
  return Apply(std::move(*next));
}

void ActiveConfiguration::RecordKnownRevision(Revision revision) {
  highest_known_ = std::max(highest_known_, revision);
}

Revision ActiveConfiguration::revision() const noexcept {
  return current_ == nullptr ? Revision{} : current_->revision;
}

}  // namespace jasminespar::configuration
