/// @file
/// Holds the configuration in force on one instance; its revision only rises.

#ifndef JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_
#define JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"

namespace jasminespar::configuration {

/// kTakeAny is for tests that show why it must not be done.
enum class RevisionRule : std::uint8_t { kOnlyRise, kTakeAny };

struct RevisionApplied {
  Revision revision;
};
struct RevisionIgnored {
  Revision offered;
  Revision in_force;
};
/// A note that does not stand on the revision in force: ask for those between.
struct RevisionGap {
  Revision in_force;
};
using RevisionOutcome =
    std::variant<RevisionApplied, RevisionIgnored, RevisionGap>;

/// Not thread-safe; what `current` returns may be shared with other threads.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(RevisionRule rule = RevisionRule::kOnlyRise);

  /// Takes a whole configuration, from the store or from a peer.
  RevisionOutcome Apply(Configuration configuration);

  /// Takes the next accepted note.
  RevisionOutcome Apply(const ReleaseNote& note);

  /// Notes that a peer or the store has this revision.
  void Hear(Revision revision);

  /// @return the configuration in force; null before the first one.
  [[nodiscard]] const std::shared_ptr<const Configuration>& current()
      const noexcept {
    return current_;
  }

  /// @return revision 0 before the first configuration.
  [[nodiscard]] Revision revision() const noexcept;

  /// @return whether a higher revision than the one in force was heard of.
  [[nodiscard]] bool behind() const noexcept { return heard_ > revision(); }

 private:
  RevisionRule rule_;
  std::shared_ptr<const Configuration> current_;
  Revision heard_;
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_ACTIVE_CONFIGURATION_H_
