/// @file
/// Results of a load, by client account.

#ifndef JASMINESPAR_STANDINS_LOAD_SUMMARY_H_
#define JASMINESPAR_STANDINS_LOAD_SUMMARY_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "jasminespar/core/time.h"
#include "jasminespar/standins/call_record.h"

namespace jasminespar::standins {

/// Results of one client account.
struct AccountSummary {
  std::size_t answered = 0;
  std::map<std::string, std::size_t> refused;  ///< By "reason/verdict".
  std::size_t without_outcome = 0;
  std::vector<Duration> completions;  ///< Of answered calls, ascending.
  /// Completions of short calls minus their run times, ascending.
  std::vector<Duration> short_waits;
};

/// Calls for one accelerator up to this run time count as short.
inline constexpr Duration kShortRunTime = 200ms;

/// @return the results by account; key "all" has those of all accounts.
[[nodiscard]] std::map<std::string, AccountSummary> Summarise(
    const std::vector<CallRecord>& records);

/// @param sorted ascending.
/// @param share 0 to 1.
/// @return the value at that share, zero when `sorted` is empty.
[[nodiscard]] Duration Percentile(const std::vector<Duration>& sorted,
                                  double share);

/// @param fragmentation mean of Site::Fragmentation over the run.
/// @return a table with one line for each account.
[[nodiscard]] std::string FormatTable(
    const std::map<std::string, AccountSummary>& accounts,
    double fragmentation);

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_LOAD_SUMMARY_H_
