/// @file
/// What clients may make one listening port of an instance hold, and which of
/// their connections go first when it is too much. Decides only: the owner of
/// the sockets reports what each connection holds and ends those named.

#ifndef JASMINESPAR_CLIENTS_CLIENT_BUDGET_H_
#define JASMINESPAR_CLIENTS_CLIENT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::clients {

/// What a connection does now.
enum class Phase : std::uint8_t {
  kIdle,      ///< Nothing of a request has arrived.
  kReading,   ///< A part of a request has arrived.
  kHandling,  ///< A whole request was read; its answer is not known yet.
  kWriting,   ///< The answer is being sent.
  kEnding,    ///< Was chosen, and is about to end.
};

inline constexpr NameTable<Phase, 5> kPhaseNames{{
    {Phase::kIdle, "idle", "Nothing of a request has arrived."},
    {Phase::kReading, "reading", "A part of a request has arrived."},
    {Phase::kHandling, "handling", "A request was read and has no answer yet."},
    {Phase::kWriting, "writing", "The answer is being sent."},
    {Phase::kEnding, "ending", "The connection was chosen to end."},
}};
static_assert(IsDense(kPhaseNames));

struct BudgetLimits {
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t max_connections = 4096;
};

/// Names a connection in calls of the budget.
using ConnectionNumber = std::uint64_t;

/// A connection that holds nothing still costs its socket and its state.
inline constexpr std::size_t kConnectionBytes = 4U << 10;

/// An answer that a client has not taken within this time counts as refused by
/// it, when memory is short.
inline constexpr Duration kAnswerGrace = 2s;

/// A request whose first byte is older than this may be ended to make room for
/// another connection.
inline constexpr Duration kReadingGrace = 1s;

/// Connections over the limit that may exist for a moment, so that each is told
/// why it is refused.
[[nodiscard]] constexpr std::size_t RefusalSlots(
    const BudgetLimits& limits) noexcept {
  return limits.max_connections < 64 ? limits.max_connections : 64;
}

/// Bytes of a message, as they arrived.
struct MessageBytes {
  std::size_t raw = 0;   ///< All of them.
  std::size_t body = 0;  ///< Those of the body alone.
};

/// Whether too many of a message's bytes are neither header nor body: trailers,
/// chunk extensions and the framing of chunks. A chunk of one byte needs 5
/// more.
/// @param max_header_bytes of the header.
/// @param max_framing_bytes beyond 8 for each byte of the body.
[[nodiscard]] constexpr bool ExceedsFraming(
    const MessageBytes& message, std::size_t max_header_bytes,
    std::size_t max_framing_bytes) noexcept {
  constexpr std::size_t kRawPerBodyByte = 9;
  return message.raw / kRawPerBodyByte > message.body &&
         message.raw - kRawPerBodyByte * message.body >
             max_header_bytes + max_framing_bytes;
}

/// Not thread-safe: each port has a budget of its own on its duty's thread, and
/// the budgets together are the process's.
class ClientBudget {
 public:
  explicit ClientBudget(const BudgetLimits& limits) : limits_(limits) {}

  void Open(ConnectionNumber number, TimePoint now);
  void Close(ConnectionNumber number);

  /// Records what a connection does and holds.
  /// @param bytes beyond kConnectionBytes.
  void Update(ConnectionNumber number, Phase phase, std::size_t bytes,
              TimePoint now);

  /// @return whether one more request may be handled; always if no other is.
  /// @param bytes what it will hold.
  [[nodiscard]] bool MayHandle(std::size_t bytes) const noexcept;

  /// Chooses connections to end so that the others fit: of those that are
  /// reading, whose bytes times their age is largest; then those that don't
  /// take their answer. A request that was read whole is never chosen.
  /// @return their numbers; they are in kEnding from now on.
  [[nodiscard]] std::vector<ConnectionNumber> ChooseOverBudget(TimePoint now);

  /// @return whether there are more connections than may be, without those that
  ///     are about to end.
  [[nodiscard]] bool OverConnections() const noexcept;

  /// Chooses a connection to end so that another one has room: the one that has
  /// been idle for longest, else the one that has been reading for longest and
  /// for more than kReadingGrace.
  /// @param newest is not chosen.
  /// @return nothing when none may be chosen.
  [[nodiscard]] std::optional<ConnectionNumber> ChooseOldest(
      ConnectionNumber newest, TimePoint now);

  /// Chooses the connections that have been idle for a time or longer.
  [[nodiscard]] std::vector<ConnectionNumber> ChooseIdleFor(Duration time,
                                                            TimePoint now);

  [[nodiscard]] std::size_t held_bytes() const noexcept { return held_; }
  [[nodiscard]] std::size_t connections() const noexcept {
    return connections_.size();
  }
  [[nodiscard]] const BudgetLimits& limits() const noexcept { return limits_; }

 private:
  struct Connection {
    Phase phase = Phase::kIdle;
    std::size_t bytes = kConnectionBytes;
    TimePoint since;  ///< Of the phase.
  };

  void Count(const Connection& connection, bool add) noexcept;
  /// @return the connection with the highest weight above zero, or null.
  template <typename Weight>
  std::pair<const ConnectionNumber, Connection>* Heaviest(Weight weight);
  void SetEnding(Connection& connection) noexcept;

  BudgetLimits limits_;
  std::unordered_map<ConnectionNumber, Connection> connections_;
  std::size_t held_ = 0;
  std::size_t ending_ = 0;  ///< Connections in kEnding.
  /// Of `held_`, by phase.
  std::array<std::size_t, kPhaseNames.size()> held_in_phase_{};
};

}  // namespace jasminespar::clients

#endif  // JASMINESPAR_CLIENTS_CLIENT_BUDGET_H_
