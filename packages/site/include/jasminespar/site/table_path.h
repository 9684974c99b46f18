/// @file
/// Decides whether a request goes to the table straight or through a peer.

#ifndef JASMINESPAR_SITE_TABLE_PATH_H_
#define JASMINESPAR_SITE_TABLE_PATH_H_

#include "jasminespar/core/time.h"
#include "jasminespar/site/table.h"

namespace jasminespar::site {

enum class TablePath : std::uint8_t { kDirect, kThroughPeer };

/// Not thread-safe; owned by the client of the table.
class TablePathChooser {
 public:
  /// Watches try the straight way again this often while it fails, so that
  /// nobody waits for the attempt.
  static constexpr Duration kProbeInterval = 700ms;

  /// @param peer_ready whether a peer says that the table serves it.
  [[nodiscard]] TablePath Choose(const TableRequest& request, bool peer_ready,
                                 TimePoint now) noexcept;

  /// Takes in what a straight attempt gave.
  void SeeStraight(const TableOutcome& outcome, TimePoint now) noexcept;

  /// @return whether straight attempts have failed for so long that no more
  ///     should be waited for. Watches go on trying.
  [[nodiscard]] bool lost(TimePoint now) const noexcept {
    return !reached_ && now - failing_since_ > kLostAfter;
  }

  /// @return whether the last straight attempt was served.
  [[nodiscard]] bool directly_reachable() const noexcept { return reached_; }

 private:
  static constexpr Duration kLostAfter = 500ms;

  bool reached_ = true;
  TimePoint failing_since_;
  TimePoint last_probe_;
};

/// @return whether the table did what it was asked, or said why it cannot.
[[nodiscard]] constexpr bool IsServed(const TableOutcome& outcome) noexcept {
  return !std::holds_alternative<Refused>(outcome) &&
         !std::holds_alternative<NoAnswer>(outcome);
}

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_PATH_H_
