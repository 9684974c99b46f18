/// @file
/// Decides when an instance reads the configuration from the table, and from
/// which peer it fetches a newer version.

#ifndef JASMINESPAR_JOBS_CONFIGURATION_SYNC_H_
#define JASMINESPAR_JOBS_CONFIGURATION_SYNC_H_

#include <cstddef>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// What a peer's heartbeat says of the configuration.
struct PeerConfiguration {
  InstanceId instance;
  Revision version;
  /// When the peer itself last found this version to be the newest in the
  /// table; nothing when it has the version from another instance.
  std::optional<TimePoint> confirmed_at;
  /// The peer watches the table all the time.
  bool watches_table = false;
  /// Of the peer's last read of a version from the table; 0 before the first.
  Duration read_time{};
};

/// The table returns the whole configuration with each change, so reading it
/// costs every instance processor time, and one with a slow link seconds. An
/// instance leaves the watch of the table to the peers that read it faster, as
/// long as enough of them confirm its version, and fetches the changes between
/// two versions from them. Not thread-safe.
class ConfigurationSync {
 public:
  /// A version that no peer has confirmed for this long is read from the table.
  /// Longer than a watch that ends without a change and the interval between
  /// two heartbeats together.
  static constexpr Duration kConfirmationLimit = 1100ms;

  /// An instance that reads a version within this time always watches the
  /// table.
  static constexpr Duration kCheapRead = 20ms;

  /// So many faster peers must watch the table before an instance leaves it to
  /// them, or one of them if its own read takes longer than kFastRead.
  static constexpr std::size_t kWatchers = 3;
  static constexpr Duration kFastRead = 300ms;

  /// An instance that watches the table leaves it this long to deliver a
  /// version that a peer already has.
  static constexpr Duration kTableHeadStart = 300ms;

  /// First wait for a peer's reply before another peer is asked. Doubles with
  /// each wait in vain, as a long reply may still be on its way.
  static constexpr Duration kReplyTimeout = 1s;
  static constexpr Duration kMaxReplyTimeout = 8s;

  explicit ConfigurationSync(InstanceId self) : self_(std::move(self)) {}

  // ---- What the instance learns ----

  /// The table returned a version.
  /// @param confirmed_at when it was certainly the newest one.
  /// @param read_time of the transfer and the decoding; nothing when the answer
  ///     held no row.
  void HandleTableAnswer(Revision newest, TimePoint confirmed_at,
                         std::optional<Duration> read_time);

  /// The table did not serve a read.
  void HandleTableFailure() noexcept { table_served_ = false; }

  /// Replaces the states of all peers.
  void HandlePeers(std::vector<PeerConfiguration> peers, TimePoint now);

  /// A version came into force. Lower versions are never set.
  void SetVersion(Revision version, TimePoint now);

  /// A peer answered the request for its version.
  void HandlePeerReply(const InstanceId& peer);

  // ---- What it decides ----

  /// @return how long to wait before the next read of the table; 0: read now.
  [[nodiscard]] Duration TableReadDelay(TimePoint now) const;

  /// @return the peer to fetch a newer version from, if that is due now. The
  ///     caller sends it a request.
  [[nodiscard]] std::optional<InstanceId> ChoosePeer(TimePoint now,
                                                     std::mt19937_64& random);

  // ---- What it tells its peers ----

  [[nodiscard]] Revision version() const noexcept { return version_; }
  /// @return when this instance last found its version to be the newest in the
  ///     table; nothing when it has the version from a peer.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const noexcept {
    return confirmed_at_;
  }
  [[nodiscard]] bool WatchesTable(TimePoint now) const {
    return table_served_ && TableReadDelay(now) == Duration{};
  }
  /// @return of the last read of a version from the table; 0 before the first.
  [[nodiscard]] Duration read_time() const noexcept { return read_time_; }

 private:
  struct PeerRequest {
    InstanceId peer;
    TimePoint sent_at;
  };

  /// @return whether the peer watches the table and has lately confirmed the
  ///     present version, or found a newer one that it can send.
  [[nodiscard]] bool IsReliedOn(const PeerConfiguration& peer,
                                TimePoint now) const;
  /// @return whether the peer reads the table in clearly less time, or is
  ///     preferred by its name among those that take about as long.
  [[nodiscard]] bool IsFaster(const PeerConfiguration& peer) const;
  /// @return the newest version at any peer.
  [[nodiscard]] Revision NewestAtPeers() const;
  /// @return the peers to choose from: with the newest version, if possible
  ///     watching the table, and not `avoided` if there are others.
  [[nodiscard]] std::vector<InstanceId> Candidates(
      const std::optional<InstanceId>& avoided) const;
  [[nodiscard]] bool MayAskAgain(TimePoint now) const;

  InstanceId self_;
  Revision version_;
  std::optional<TimePoint> confirmed_at_;
  std::vector<PeerConfiguration> peers_;
  /// Since when some peer has had a newer version.
  std::optional<TimePoint> behind_since_;
  std::optional<PeerRequest> request_;
  Duration reply_timeout_ = kReplyTimeout;
  Duration read_time_{};
  bool table_served_ = false;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_CONFIGURATION_SYNC_H_
