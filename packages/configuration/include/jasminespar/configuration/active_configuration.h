/// @file
/// The configuration in force on one instance. Its revision never decreases.

#ifndef JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_
#define JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// kApplyAny also applies lower revisions. It is incorrect and exists for
/// mutation tests only.
enum class RevisionRule : std::uint8_t { kOnlyHigher, kApplyAny };

struct RevisionApplied {
  Revision revision;
};
/// The offered revision is not above the one in force.
struct RevisionIgnored {
  Revision offered;
  Revision in_force;
};
/// The note's base is above the revision in force, or none is in force yet: the
/// revisions in between must be fetched first.
struct RevisionGap {
  Revision in_force;
};
using RevisionOutcome =
    std::variant<RevisionApplied, RevisionIgnored, RevisionGap>;

/// Not thread-safe. The configuration that `current` returns is immutable and
/// may be shared with other threads.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(RevisionRule rule = RevisionRule::kOnlyHigher);

  /// Applies a whole configuration from the store or a peer if its revision is
  /// higher.
  RevisionOutcome Apply(Configuration configuration);

  /// Applies an accepted note if it changes the revision in force.
  RevisionOutcome Apply(const ReleaseNote& note);

  /// Records that a peer or the store has this revision; see `behind`.
  void RecordKnownRevision(Revision revision);

  /// @return the configuration in force; null until the first is applied.
  [[nodiscard]] const std::shared_ptr<const Configuration>& current()
      const noexcept {
    return current_;
  }

  /// @return the revision in force; 0 until the first is applied.
  [[nodiscard]] Revision revision() const noexcept;

  /// @return whether a revision above the one in force is known to exist.
  [[nodiscard]] bool behind() const noexcept {
    return highest_known_ > revision();
  }

 private:
  RevisionRule rule_;
  std::shared_ptr<const Configuration> current_;
  Revision highest_known_;
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_
