#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <thread>

#include "jasminespar/telemetry/events.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::telemetry {
namespace {

bool ContainsLine(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST_CASE(
    "event numbers and names are unique and every event has a help text") {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const EventRow& row : kEvents) {
    CHECK(numbers.insert(row.number).second);
    CHECK(names.insert(row.name).second);
    CHECK_FALSE(row.help.empty());
  }
}

TEST_CASE("an event is formatted as one line of key=value pairs") {
  CHECK(FormatEvent(Event::kCellClaimed, {{"cell", "dc-a/0"},
                                          {"epoch", std::uint64_t{7}},
                                          {"provisional", false}}) ==
        "event=2001 name=cell_claimed cell=dc-a/0 epoch=7 provisional=false");
}

TEST_CASE("a field value with a line break cannot inject a second event") {
  CHECK(FormatEvent(Event::kNoteConflict,
                    {{"title", std::string("a\nevent=1001 \"")}}) ==
        "event=6002 name=note_conflict title=\"a\\x0aevent=1001 \\\"\"");
}

TEST_CASE(
    "refusals and retries of every reason are exported as zero at the start") {
  const Metrics metrics;
  const std::string text = metrics.Render();
  for (const ReasonRow& row : kReasons) {
    const std::string label = "{reason=\"" + std::string(row.name) + "\"} 0";
    CHECK(ContainsLine(text, "jasminespar_refusals_total" + label));
    CHECK(ContainsLine(text, "jasminespar_retries_total" + label));
  }
}

TEST_CASE("each metric is exported under its own name") {
  Metrics metrics;
  metrics.Count(Counter::kJournalBytes, 512);
  metrics.CountRefusal(Reason::kQueueFull);
  metrics.CountRetry(Reason::kWorkerLost);
  metrics.Set(Gauge::kConfigurationRevision, 41);
  metrics.Observe(Timing::kTakeover, 250ms);
  const std::string text = metrics.Render();
  CHECK(ContainsLine(text, "jasminespar_journal_bytes_total 512"));
  CHECK(ContainsLine(text,
                     "jasminespar_refusals_total{reason=\"queue_full\"} 1"));
  CHECK(ContainsLine(text,
                     "jasminespar_retries_total{reason=\"worker_lost\"} 1"));
  CHECK(ContainsLine(text, "jasminespar_configuration_revision 41"));
  CHECK(ContainsLine(text, "jasminespar_takeover_seconds_sum 0.25"));
  for (const auto& row : kCounterNames) {
    CHECK(text.find("jasminespar_" + std::string(row.name) + "_total ") !=
          std::string::npos);
  }
}

TEST_CASE("no count is lost when several threads count") {
  Metrics metrics;
  constexpr int kThreads = 4;
  constexpr int kCounts = 10'000;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&metrics] {
      for (int n = 0; n < kCounts; ++n) metrics.Count(Counter::kCallsAnswered);
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(
      ContainsLine(metrics.Render(), "jasminespar_calls_answered_total 40000"));
}

std::string ReadPage(const std::string& name) {
  std::ifstream file(JASMINESPAR_DOCS "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// @return the first capture group of each match of `row` in the page.
std::set<std::string> RowsOf(const std::string& page, const std::regex& row) {
  std::set<std::string> found;
  for (std::sregex_iterator match(page.begin(), page.end(), row), end;
       match != end; ++match) {
    found.insert((*match)[1].str());
  }
  return found;
}

TEST_CASE("EVENTS.md lists exactly the events of the table") {
  std::set<std::string> expected;
  for (const EventRow& row : kEvents) {
    expected.insert(std::to_string(row.number) + " | `" +
                    std::string(row.name) + "` | " +
                    std::string(RowOf(kSeverityNames, row.severity).name) +
                    " | " + std::string(row.help));
  }
  CHECK(RowsOf(ReadPage("EVENTS.md"),
               std::regex(R"(\n\| (\d+ \| [^|]+ \| [^|]+ \| [^|]+) \|)")) ==
        expected);
}

TEST_CASE("OPERATIONS.md lists exactly the metrics of the tables") {
  std::set<std::string> expected;
  const auto expect = [&](const auto& table, const std::string& suffix) {
    for (const auto& row : table) {
      expected.insert("jasminespar_" + std::string(row.name) + suffix + "` | " +
                      std::string(row.help));
    }
  };
  expect(kCounterNames, "_total");
  expect(kGaugeNames, "");
  expect(kTimingNames, "_seconds");
  CHECK(RowsOf(ReadPage("OPERATIONS.md"),
               std::regex(R"(\n\| `(jasminespar_[^|]+ \| [^|]+) \|)")) ==
        expected);
}

TEST_CASE("every event number in OPERATIONS.md exists") {
  const std::string page = ReadPage("OPERATIONS.md");
  std::set<std::string> numbers;
  for (const EventRow& row : kEvents)
    numbers.insert(std::to_string(row.number));
  const std::regex number(R"(\b([1-8]00\d)\b)");
  for (const std::string& named : RowsOf(page, number)) {
    CAPTURE(named);
    CHECK(numbers.contains(named));
  }
}

}  // namespace
}  // namespace jasminespar::telemetry
