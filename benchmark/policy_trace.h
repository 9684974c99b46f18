/// @file
/// Seeded traces of job arrivals for the two users, one trace per cell.

#ifndef JASMINESPAR_BENCHMARK_POLICY_TRACE_H_
#define JASMINESPAR_BENCHMARK_POLICY_TRACE_H_

#include <cstdint>
#include <vector>

#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/scheduling/scheduler.h"

namespace jasminespar::benchmark {

enum class User : std::uint8_t { kSaoMai, kLoneStar };

inline constexpr NameTable<User, 2> kUserNames{{
    {User::kSaoMai, "sao_mai", "Short calls with steep peaks, some gangs."},
    {User::kLoneStar, "lone_star", "Large gangs on a busy cell."},
}};
static_assert(IsDense(kUserNames));

/// A job, with the properties that the scheduler does not know.
struct TraceJob {
  scheduling::Job job;
  Duration run_time{};
  bool is_short = false;  ///< Of the short class, even if a straggler.
  bool at_peak = false;
};

struct Trace {
  configuration::CellTopology topology;
  configuration::CellShare share;
  std::vector<TraceJob> jobs;  ///< Sorted by arrival.
};

/// @param cell index of the user's cell; each has its own arrivals.
[[nodiscard]] Trace MakeTrace(User user, std::uint64_t seed,
                              std::uint32_t cell);

/// @return the number of cells of the user.
[[nodiscard]] std::uint32_t CellsOf(User user);

}  // namespace jasminespar::benchmark

#endif  // JASMINESPAR_BENCHMARK_POLICY_TRACE_H_
