#include "jasminespar/jobs/configuration_sync.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <iterator>
#include <utility>

namespace jasminespar::jobs {

namespace {

/// @return the power of two of milliseconds, so that times that differ by
///     chance compare as equal.
int SizeClassOf(Duration time) {
  return std::bit_width(static_cast<std::uint64_t>(ToMilliseconds(time)));
}

}  // namespace

void ConfigurationSync::HandleTableAnswer(Revision newest,
                                          TimePoint confirmed_at,
                                          std::optional<Duration> read_time) {
  table_served_ = true;
  if (read_time) read_time_ = *read_time;
  if (newest == version_) confirmed_at_ = confirmed_at;
}

void ConfigurationSync::HandlePeers(std::vector<PeerConfiguration> peers,
                                    TimePoint now) {
  peers_ = std::move(peers);
  if (NewestAtPeers() <= version_) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

void ConfigurationSync::SetVersion(Revision version, TimePoint now) {
  if (version <= version_) return;
  version_ = version;
  confirmed_at_.reset();
  request_.reset();
  reply_timeout_ = kReplyTimeout;
  behind_since_.reset();
  if (NewestAtPeers() > version_) behind_since_ = now;
}

void ConfigurationSync::HandlePeerReply(const InstanceId& peer) {
  if (!request_ || request_->peer != peer) return;
  request_.reset();
  reply_timeout_ = kReplyTimeout;
}

Duration ConfigurationSync::TableReadDelay(TimePoint now) const {
  if (version_ == Revision{} || read_time_ <= kCheapRead) return {};
  std::size_t watchers = 0;
  TimePoint confirmed_at;
  for (const PeerConfiguration& peer : peers_) {
    if (!IsReliedOn(peer, now) || !IsFaster(peer)) continue;
    ++watchers;
    confirmed_at = std::max(confirmed_at, *peer.confirmed_at);
  }
  const std::size_t needed = read_time_ > kFastRead ? 1 : kWatchers;
  if (watchers < needed) return {};
  return confirmed_at + kConfirmationLimit - now;
}

bool ConfigurationSync::IsReliedOn(const PeerConfiguration& peer,
                                   TimePoint now) const {
  if (!peer.watches_table || !peer.confirmed_at) return false;
  if (now - *peer.confirmed_at >= kConfirmationLimit) return false;
  if (peer.version == version_) return true;
  // A newer version is to come from that peer.
  return peer.version > version_ && behind_since_ &&
         now - *behind_since_ < kConfirmationLimit;
}

bool ConfigurationSync::IsFaster(const PeerConfiguration& peer) const {
  const int own = SizeClassOf(read_time_);
  const int other = SizeClassOf(peer.read_time);
  return other < own || (other == own && peer.instance < self_);
}

std::optional<InstanceId> ConfigurationSync::ChoosePeer(
    TimePoint now, std::mt19937_64& random) {
  if (!behind_since_ || !MayAskAgain(now)) return std::nullopt;
  if (WatchesTable(now) && now - *behind_since_ < kTableHeadStart) {
    return std::nullopt;
  }
  std::optional<InstanceId> silent;
  if (request_) {
    silent = request_->peer;
    reply_timeout_ = std::min(2 * reply_timeout_, kMaxReplyTimeout);
  }
  const std::vector<InstanceId> candidates = Candidates(silent);
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  request_ = PeerRequest{candidates[index(random)], now};
  return request_->peer;
}

Revision ConfigurationSync::NewestAtPeers() const {
  Revision newest;
  for (const PeerConfiguration& peer : peers_) {
    newest = std::max(newest, peer.version);
  }
  return newest;
}

std::vector<InstanceId> ConfigurationSync::Candidates(
    const std::optional<InstanceId>& avoided) const {
  const Revision newest = NewestAtPeers();
  std::vector<PeerConfiguration> candidates;
  std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(candidates),
               [&](const auto& peer) { return peer.version == newest; });
  const auto keep_preferred = [&](const auto& preferred) {
    const auto rest =
        std::partition(candidates.begin(), candidates.end(), preferred);
    if (rest != candidates.begin()) candidates.erase(rest, candidates.end());
  };
  keep_preferred([&](const auto& peer) { return peer.instance != avoided; });
  keep_preferred([](const auto& peer) { return peer.watches_table; });
  std::vector<InstanceId> instances;
  for (const PeerConfiguration& peer : candidates) {
    instances.push_back(peer.instance);
  }
  return instances;
}

bool ConfigurationSync::MayAskAgain(TimePoint now) const {
  return !request_ || now - request_->sent_at >= reply_timeout_;
}

}  // namespace jasminespar::jobs
