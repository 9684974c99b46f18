#include "jasminespar/standins/load_summary.h"

#include <algorithm>
#include <cstdio>

namespace jasminespar::standins {

namespace {

void AddRecord(const CallRecord& record, AccountSummary& summary) {
  if (record.outcome == CallerOutcome::kRefused) {
    ++summary
          .refused[record.reason + "/" + std::string(NameOf(record.verdict))];
    return;
  }
  if (record.outcome != CallerOutcome::kAnswered) {
    ++summary.without_outcome;
    return;
  }
  ++summary.answered;
  summary.completions.push_back(record.completion);
  const Duration run_time = record.plan.directive.run_time;
  if (record.plan.gang.accelerators == 1 && run_time <= kShortRunTime) {
    summary.short_waits.push_back(
        std::max(Duration{}, record.completion - run_time));
  }
}

std::string FormatLine(const std::string& account,
                       const AccountSummary& summary, double fragmentation) {
  std::size_t refused = 0;
  std::string reasons;
  for (const auto& [reason, count] : summary.refused) {
    refused += count;
    reasons += " " + reason + "=" + std::to_string(count);
  }
  char line[160];
  std::snprintf(line, sizeof line,
                "%-12s %8zu %8zu %8zu %8lld %8lld %8lld %8lld %6.1f%% ",
                account.c_str(), summary.answered, refused,
                summary.without_outcome,
                static_cast<long long>(
                    ToMilliseconds(Percentile(summary.completions, 0.5))),
                static_cast<long long>(
                    ToMilliseconds(Percentile(summary.completions, 0.99))),
                static_cast<long long>(
                    ToMilliseconds(Percentile(summary.short_waits, 0.5))),
                static_cast<long long>(
                    ToMilliseconds(Percentile(summary.short_waits, 0.99))),
                100 * fragmentation);
  return line + reasons + "\n";
}

}  // namespace

std::map<std::string, AccountSummary> Summarise(
    const std::vector<CallRecord>& records) {
  std::map<std::string, AccountSummary> accounts;
  for (const CallRecord& record : records) {
    AddRecord(record, accounts[record.plan.key.account.value]);
    AddRecord(record, accounts["all"]);
  }
  for (auto& [account, summary] : accounts) {
    std::sort(summary.completions.begin(), summary.completions.end());
    std::sort(summary.short_waits.begin(), summary.short_waits.end());
  }
  return accounts;
}

Duration Percentile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) return {};
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(share * last + 0.5)];
}

std::string FormatTable(const std::map<std::string, AccountSummary>& accounts,
                        double fragmentation) {
  std::string text =
      "                                              completion ms"
      "    short wait ms   fragmen-\n"
      "account      answered  refused  without      p50      p99"
      "      p50      p99  tation refused by reason\n";
  for (const auto& [account, summary] : accounts) {
    text += FormatLine(account, summary, fragmentation);
  }
  return text;
}

}  // namespace jasminespar::standins
