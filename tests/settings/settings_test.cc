#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <set>

#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/settings/settings_table.h"

namespace jasminespar::settings {
namespace {

using configuration::FormatNumber;
using configuration::IsNumeric;
using configuration::ParseNumber;

const std::string kMinimal =
    "[instance]\nid = a1\ndata_centre = dc-a\n"
    "[callers]\nhost = 127.0.0.1\nport = 8001\n"
    "[peers]\nhost = 127.0.0.2\nport = 9001\n"
    "[platform]\nhost = 127.0.0.3\nport = 7001\n";

DaemonSettings ParseValid(const std::string& text) {
  const auto result = ParseDaemonSettings(text, "test.ini");
  REQUIRE(std::holds_alternative<DaemonSettings>(result));
  return std::get<DaemonSettings>(result);
}

std::vector<SettingError> ErrorsOf(const std::string& text) {
  const auto result = ParseDaemonSettings(text, "test.ini");
  REQUIRE(std::holds_alternative<std::vector<SettingError>>(result));
  return std::get<std::vector<SettingError>>(result);
}

TEST_CASE("a file with only the required keys gets the defaults of the table") {
  const DaemonSettings settings = ParseValid(kMinimal);
  CHECK(settings.instance.value == "a1");
  CHECK(settings.caller_address.port == 8001);
  CHECK(settings.advertised_peer_address == settings.peer_address);
  CHECK(settings.heartbeat_interval == 200ms);
  CHECK(settings.journal_max_batch_bytes == 256U << 10);
  CHECK(settings.shutdown_grace == 30s);
}

TEST_CASE("the defaults of the table equal those of CellSettings") {
  const cell::CellSettings parsed = ParseValid(kMinimal).cell;
  const cell::CellSettings expected;
  CHECK(parsed.hold == expected.hold);
  CHECK(parsed.recovery_timeout == expected.recovery_timeout);
  CHECK(parsed.worker_lease == expected.worker_lease);
  CHECK(parsed.max_attempts == expected.max_attempts);
  CHECK(parsed.max_live_calls == expected.max_live_calls);
  CHECK(parsed.policy.max_waiting_jobs == expected.policy.max_waiting_jobs);
  CHECK(parsed.policy.reservation_wait == expected.policy.reservation_wait);
  CHECK(parsed.policy.quarantine_failures ==
        expected.policy.quarantine_failures);
  CHECK(parsed.policy.quarantine_time == expected.policy.quarantine_time);
  CHECK(parsed.policy.poison_failures == expected.policy.poison_failures);
}

TEST_CASE(
    "every default of the table is in range and can be printed and parsed") {
  std::set<std::pair<std::string_view, std::string_view>> keys;
  for (const SettingRow<DaemonSettings>& row : SettingRows<DaemonSettings>()) {
    CAPTURE(row.key);
    CHECK(keys.insert({row.section, row.key}).second);
    CHECK_FALSE(row.help.empty());
    CHECK((row.presence == Presence::kDefaulted) == !row.default_text.empty());
    if (!IsNumeric(row.unit) || row.default_text.empty()) continue;
    const auto number = ParseNumber(row.unit, row.default_text);
    REQUIRE(number.has_value());
    CHECK(*number >= row.range.min);
    CHECK(*number <= row.range.max);
    CHECK(ParseNumber(row.unit, FormatNumber(row.unit, *number)) == number);
  }
}

TEST_CASE("printed settings parse to the same settings") {
  const std::string text = kMinimal +
                           "advertised_host = 10.0.0.1\n[cells]\n"
                           "hold = 2500ms\n[process]\nlog_folder = logs\n";
  // The key follows [platform], which has no advertised_host.
  CHECK(ErrorsOf(text).at(0).message == "unknown key");
  const std::string valid = kMinimal +
                            "[peers]\nadvertised_port = 99\n[cells]\n"
                            "hold = 2500ms\n[process]\nlog_folder = logs\n";
  const DaemonSettings settings = ParseValid(valid);
  CHECK(settings.advertised_peer_address.port == 99);
  const std::string printed = PrintDaemonSettings(settings);
  CHECK(PrintDaemonSettings(ParseValid(printed)) == printed);
  CHECK(printed.find("hold = 2500ms\n") != std::string::npos);
}

TEST_CASE("all faults are reported at once with file, line, key and range") {
  const std::vector<SettingError> errors = ErrorsOf(
      "[instance]\nid = a 1\n[callers]\nhost = localhost\nport = 70000\n"
      "nonsense\n[peers]\nheartbeat_interval = 5\nheartbeat_interval = 6\n");
  std::set<std::string> texts;
  for (const SettingError& error : errors) texts.insert(ToString(error));
  CHECK(texts.count("test.ini:5: [callers] port: out of range: 70000; "
                    "allowed: 1 to 65535") == 1);
  CHECK(texts.count("test.ini:6: neither a section nor 'key = value'") == 1);
  CHECK(texts.count("test.ini:8: [peers] heartbeat_interval: not a number of "
                    "this unit: 5; allowed: 10ms to 10s") == 1);
  CHECK(texts.count("test.ini:9: [peers] heartbeat_interval: already set in "
                    "line 8; allowed: 10ms to 10s") == 1);
  CHECK(texts.count("test.ini: [platform] port: missing; allowed: 1 to "
                    "65535") == 1);
  // Also: id, host, data_centre, two of [peers] and the platform's host.
  CHECK(errors.size() == 11);
}

TEST_CASE("contradictory settings are faults") {
  const auto errors = ErrorsOf(kMinimal + "[cells]\nworker_lease = 1s\n");
  REQUIRE(errors.size() == 2);
  CHECK(errors[0].key == "hold");
  CHECK(errors[1].key == "report_wait");
}

TEST_CASE(
    "indented lines are parsed; overlong and malformed lines are faults") {
  CHECK(ParseValid("  [cells]\n   racks_per_cell = 7\n" + kMinimal)
            .racks_per_cell == 7);
  CHECK(
      ErrorsOf("; c\n" + std::string(5000, 'x') + "\n" + kMinimal).at(0).line ==
      2);
  CHECK(ErrorsOf(std::string("[in\0st]\n", 8) + kMinimal).at(0).line == 1);
}

TEST_CASE("SETTINGS.md equals the page generated from the tables") {
  // After a change of the tables, copy the written file over the page.
  std::ofstream("SETTINGS.md") << SettingsPage();
  std::ifstream file(JASMINESPAR_DOCS "/SETTINGS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  CHECK(page == SettingsPage());
}

}  // namespace
}  // namespace jasminespar::settings
