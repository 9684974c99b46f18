/// @file
/// Decides for one cell: which task runs where, and what its ends mean.

#ifndef JASMINESPAR_JOBS_DISPATCHER_H_
#define JASMINESPAR_JOBS_DISPATCHER_H_

#include <memory>
#include <vector>

#include "jasminespar/jobs/messages.h"

namespace jasminespar::jobs {

/// Bounds that the site promises about its workers, and the owner's patience.
struct DispatcherSettings {
  Duration max_lease = 10s;          ///< Longest lease that a worker grants.
  Duration status_retention = 120s;  ///< A final job is shown this long.
  /// Until a task that was stopped with a checkpoint works again.
  Duration resume_delay = 250ms;
  Duration stop_limit = 900ms;       ///< A stopped run is over by then.
  Duration reclaim_within = 3400ms;  ///< Guaranteed work has begun by then.
  /// An owner that lost the cell may renew leases this long after a takeover.
  Duration predecessor_renews = 5s;
  /// It may start tasks this long after a takeover.
  Duration predecessor_starts = 1500ms;
};

/// What the owner may do, by the age of its last confirmed sign of life.
enum class Authority : std::uint8_t {
  kNone,  ///< Another owner may have taken over: no orders.
  kKeep,  ///< Keeps what runs alive, and starts nothing.
  kFull,
};

inline constexpr NameTable<Authority, 3> kAuthorityNames{{
    {Authority::kNone, "none", "No orders are sent."},
    {Authority::kKeep, "keep", "Leases are renewed; nothing starts."},
    {Authority::kFull, "full", "Everything is allowed."},
}};
static_assert(IsDense(kAuthorityNames));

/// Not thread-safe. One object serves one epoch of ownership.
class Dispatcher {
 public:
  /// @param epoch of the ownership; part of every run number.
  Dispatcher(const DispatcherSettings& settings, Epoch epoch);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Says that every job of the table was given by JobFound.
  /// Nothing starts before.
  void FinishLoading(TimePoint now);

  /// Takes in one fact. Decisions that follow are made by `Decide`.
  [[nodiscard]] std::vector<DispatcherEffect> Handle(DispatcherInput input,
                                                     const Now& now);

  /// Looks at workers, gives up on silent ones, and starts what fits.
  [[nodiscard]] std::vector<DispatcherEffect> Decide(Authority authority,
                                                     const Now& now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_DISPATCHER_H_
