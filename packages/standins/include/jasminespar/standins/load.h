/// @file
/// Load generator: sends planned calls, retries them and records outcomes.

#ifndef JASMINESPAR_STANDINS_LOAD_H_
#define JASMINESPAR_STANDINS_LOAD_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/standins/call_record.h"
#include "jasminespar/standins/load_plan.h"

namespace jasminespar::standins {

struct LoadSettings {
  std::uint64_t seed = 1;
  std::vector<std::uint16_t> caller_ports;  ///< One for each instance.
  Duration send_timeout = 30s;  ///< Of one request; then it is retried.
  Duration call_timeout = 90s;  ///< From arrival until a caller gives up.
};

/// Numbers of calls.
struct LoadProgress {
  std::size_t ended = 0;
  std::size_t answered = 0;
  std::size_t planned = 0;
};

/// Sends each planned call to random instances until it has an outcome. Runs on
/// a duty of its own.
class Load {
 public:
  Load(const LoadSettings& settings, std::vector<PlannedCall> calls);
  ~Load();

  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Start();

  /// Safe to call from any thread.
  [[nodiscard]] LoadProgress progress() const;

  /// Waits until every call has ended, then sends up to `recheck_count`
  /// answered calls once more and sets `outcome_changed` of those that get
  /// another outcome. Call once.
  /// @return what the callers observed.
  [[nodiscard]] std::vector<CallRecord> Finish(std::size_t recheck_count);

 private:
  /// Time until the call is sent again; nothing once it has ended.
  using RetryDelay = std::optional<Duration>;

  boost::asio::awaitable<void> RunCall(CallRecord& record);
  boost::asio::awaitable<RetryDelay> SendOnce(CallRecord& record,
                                              TimePoint give_up);
  boost::asio::awaitable<void> Recheck(CallRecord& record);
  boost::asio::awaitable<void> Sleep(Duration time);
  /// @return whether a complete response arrived.
  boost::asio::awaitable<bool> TrySend(CallRecord& record, Duration timeout,
                                       http::Response& response);
  RetryDelay HandleResponse(CallRecord& record, const http::Response& response);
  void EndCall(CallRecord& record, CallerOutcome outcome);

  LoadSettings settings_;
  std::vector<CallRecord> records_;
  std::mt19937_64 random_;
  std::atomic<std::size_t> ended_{0};
  std::atomic<std::size_t> answered_{0};
  std::atomic<std::size_t> rechecked_{0};
  TimePoint start_;
  runtime::Duty duty_;
  std::vector<std::unique_ptr<http::Client>> clients_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LOAD_H_
