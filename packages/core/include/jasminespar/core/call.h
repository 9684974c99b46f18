/// @file
/// Requests of callers and their outcomes.

#ifndef JASMINESPAR_CORE_CALL_H_
#define JASMINESPAR_CORE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/reason.h"
#include "jasminespar/core/time.h"
#include "jasminespar/core/verdict.h"

namespace jasminespar {

/// Size of the largest gang that a call may request; accelerators.
inline constexpr int kMaxGangAccelerators = 64;

/// Whether a call may run again after a failure.
enum class Idempotence : std::uint8_t { kIdempotent, kNonIdempotent };

inline constexpr NameTable<Idempotence, 2> kIdempotenceNames{{
    {Idempotence::kIdempotent, "idempotent", "May run again after a failure."},
    {Idempotence::kNonIdempotent, "non_idempotent", "Runs at most once."},
}};
static_assert(IsDense(kIdempotenceNames));

/// Placement constraint: how close the accelerators of a gang must be.
enum class Adjacency : std::uint8_t { kAny, kRack, kWorker };

inline constexpr NameTable<Adjacency, 3> kAdjacencyNames{{
    {Adjacency::kAny, "any", "Anywhere in one cell."},
    {Adjacency::kRack, "rack", "All in one rack."},
    {Adjacency::kWorker, "worker", "All on one worker."},
}};
static_assert(IsDense(kAdjacencyNames));

enum class Priority : std::uint8_t { kUrgent, kNormal, kBatch };

inline constexpr NameTable<Priority, 3> kPriorityNames{{
    {Priority::kUrgent, "urgent", "Starts before other waiting work."},
    {Priority::kNormal, "normal", "The default."},
    {Priority::kBatch, "batch", "Starts after other waiting work."},
}};
static_assert(IsDense(kPriorityNames));

/// Whether the caller waits for the answer or fetches it later.
enum class Delivery : std::uint8_t { kWait, kCollect };

inline constexpr NameTable<Delivery, 2> kDeliveryNames{{
    {Delivery::kWait, "wait", "Answered on the caller's connection."},
    {Delivery::kCollect, "collect", "Accepted durably and fetched later."},
}};
static_assert(IsDense(kDeliveryNames));

/// Identity of a call: requests with equal keys are the same call.
struct CallKey {
  ClientAccountId account;
  ServiceId service;
  std::string idempotency_key;
  auto operator<=>(const CallKey&) const = default;
};

/// @return the id of the call with that key.
[[nodiscard]] CallId IdOf(const CallKey& key);

/// Size and placement constraint of a gang.
struct GangShape {
  int accelerators = 1;  ///< 1 to kMaxGangAccelerators.
  Adjacency adjacency = Adjacency::kAny;
  auto operator<=>(const GangShape&) const = default;
};

struct CallRequest {
  CallId id;  ///< IdOf(key).
  CallKey key;
  Idempotence idempotence = Idempotence::kIdempotent;
  Delivery delivery = Delivery::kWait;
  Priority priority = Priority::kNormal;
  GangShape gang;
  Duration time_left{};          ///< From arrival to the caller's deadline.
  Duration declared_run_time{};  ///< The caller's estimate; untrusted.
  std::string body;
  auto operator<=>(const CallRequest&) const = default;
};

/// Complete answer of an endpoint.
struct Answer {
  int http_status = 200;
  std::string body;
  auto operator<=>(const Answer&) const = default;
};

/// Refusal or failure of a call. `verdict` says whether the call may have run.
struct Refusal {
  Reason reason = Reason::kMalformedRequest;
  Verdict verdict = Verdict::kNotRun;
  Duration retry_after{};  ///< Zero when a retry would not help.
  std::string detail;      ///< For people; may be empty.
  auto operator<=>(const Refusal&) const = default;
};

/// Terminal result of a call; each call has exactly one.
using Outcome = std::variant<Answer, Refusal>;

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_CALL_H_
