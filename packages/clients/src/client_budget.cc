#include "jasminespar/clients/client_budget.h"

#include <utility>

namespace jasminespar::clients {

namespace {

constexpr double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ClientBudget::Count(const Connection& connection, bool add) noexcept {
  std::size_t& in_phase =
      held_in_phase_[static_cast<std::size_t>(connection.phase)];
  held_ = add ? held_ + connection.bytes : held_ - connection.bytes;
  in_phase = add ? in_phase + connection.bytes : in_phase - connection.bytes;
  if (connection.phase == Phase::kEnding) ending_ = ending_ + (add ? 1 : -1);
}

void ClientBudget::Open(ConnectionNumber number, TimePoint now) {
  const auto [opened, is_new] = connections_.try_emplace(number);
  if (!is_new) return;
  opened->second.since = now;
  Count(opened->second, true);
}

void ClientBudget::Close(ConnectionNumber number) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  Count(found->second, false);
  connections_.erase(found);
}

void ClientBudget::Update(ConnectionNumber number, Phase phase,
                          std::size_t bytes, TimePoint now) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  Count(connection, false);
  if (connection.phase != phase) connection.since = now;
  connection.phase = phase;
  connection.bytes = kConnectionBytes + bytes;
  Count(connection, true);
}

bool ClientBudget::MayHandle(std::size_t bytes) const noexcept {
  const std::size_t handled =
      held_in_phase_[static_cast<std::size_t>(Phase::kHandling)];
  return handled == 0 ||
         (bytes <= limits_.max_bytes && handled <= limits_.max_bytes - bytes);
}

template <typename Weight>
std::pair<const ConnectionNumber, ClientBudget::Connection>*
ClientBudget::Heaviest(Weight weight) {
  std::pair<const ConnectionNumber, Connection>* heaviest = nullptr;
  double most = 0;
  for (auto& entry : connections_) {
    const double weighed = weight(entry.first, entry.second);
    if (weighed <= most) continue;
    most = weighed;
    heaviest = &entry;
  }
  return heaviest;
}

void ClientBudget::SetEnding(Connection& connection) noexcept {
  Count(connection, false);
  connection.phase = Phase::kEnding;
  Count(connection, true);
}

std::vector<ConnectionNumber> ClientBudget::ChooseOverBudget(TimePoint now) {
  constexpr auto kEnding = static_cast<std::size_t>(Phase::kEnding);
  std::vector<ConnectionNumber> chosen;
  // What is about to end will be free soon.
  while (held_ - held_in_phase_[kEnding] > limits_.max_bytes) {
    const auto hold = [now](ConnectionNumber, const Connection& connection) {
      // Without the 1 us, those that began just now would weigh nothing.
      const Duration age = now - connection.since + 1us;
      if (connection.phase != Phase::kReading) return 0.0;
      return static_cast<double>(connection.bytes) * Seconds(age);
    };
    auto* heaviest = Heaviest(hold);
    if (heaviest == nullptr) {
      heaviest = Heaviest([now](ConnectionNumber, const Connection& slow) {
        const Duration age = now - slow.since;
        if (slow.phase != Phase::kWriting || age < kAnswerGrace) return 0.0;
        return static_cast<double>(slow.bytes) * Seconds(age);
      });
    }
    if (heaviest == nullptr) break;
    SetEnding(heaviest->second);
    chosen.push_back(heaviest->first);
  }
  return chosen;
}

bool ClientBudget::OverConnections() const noexcept {
  return connections_.size() - ending_ > limits_.max_connections;
}

std::optional<ConnectionNumber> ClientBudget::ChooseOldest(
    ConnectionNumber newest, TimePoint now) {
  const auto age_in = [newest, now](Phase phase, Duration grace) {
    return [=](ConnectionNumber number, const Connection& connection) {
      const Duration age = now - connection.since;
      const bool eligible =
          number != newest && connection.phase == phase && age >= grace;
      return eligible ? Seconds(age + 1us) : 0.0;
    };
  };
  auto* oldest = Heaviest(age_in(Phase::kIdle, Duration{}));
  if (oldest == nullptr) {
    oldest = Heaviest(age_in(Phase::kReading, kReadingGrace));
  }
  if (oldest == nullptr) return std::nullopt;
  SetEnding(oldest->second);
  return oldest->first;
}

std::vector<ConnectionNumber> ClientBudget::ChooseIdleFor(Duration time,
                                                          TimePoint now) {
  std::vector<ConnectionNumber> chosen;
  for (auto& [number, connection] : connections_) {
    if (connection.phase != Phase::kIdle) continue;
    if (now - connection.since < time) continue;
    SetEnding(connection);
    chosen.push_back(number);
  }
  return chosen;
}

}  // namespace jasminespar::clients
