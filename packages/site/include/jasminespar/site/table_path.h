/// @file
/// Chooses between the direct path to the table and the path through a peer.

#ifndef JASMINESPAR_SITE_TABLE_PATH_H_
#define JASMINESPAR_SITE_TABLE_PATH_H_

#include "jasminespar/core/time.h"
#include "jasminespar/site/table.h"

namespace jasminespar::site {

enum class TablePath : std::uint8_t { kDirect, kThroughPeer };

/// Not thread-safe; owned by the table client.
class TablePathChooser {
 public:
  /// While the direct path fails, only watches try it again, at this interval,
  /// so that no caller has to wait for the attempt.
  static constexpr Duration kProbeInterval = 700ms;

  /// @param relay_available whether a peer reports that the table serves it.
  [[nodiscard]] TablePath Choose(const TableRequest& request,
                                 bool relay_available, TimePoint now) noexcept;

  void RecordDirectOutcome(const TableOutcome& outcome, TimePoint now) noexcept;

  /// @return whether direct attempts have failed for so long that callers
  ///     should not wait for another one. Watches still try the path.
  [[nodiscard]] bool direct_path_down(TimePoint now) const noexcept {
    return !direct_path_served_ && now - failing_since_ > kDirectPathDownDelay;
  }

  /// @return whether the last direct attempt was served.
  [[nodiscard]] bool direct_path_served() const noexcept {
    return direct_path_served_;
  }

 private:
  static constexpr Duration kDirectPathDownDelay = 500ms;

  bool direct_path_served_ = true;
  TimePoint failing_since_;
  TimePoint last_probe_;
};

/// @return whether the table carried out the request or said why it cannot.
[[nodiscard]] constexpr bool IsServed(const TableOutcome& outcome) noexcept {
  return !std::holds_alternative<Refused>(outcome) &&
         !std::holds_alternative<NoAnswer>(outcome);
}

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_TABLE_PATH_H_
