#include <string>

#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/settings/settings_table.h"

namespace jasminespar::settings {

namespace {

constexpr std::string_view kIntroduction =
    "# Settings of `jasmined`\n"
    "\n"
    "One INI file, read at the start: `jasmined --settings FILE`, or "
    "`jasmined --serve jobs --settings FILE`. "
    "Comments start with `;` "
    "or `#`. Every fault is reported at once, with file, line, key and allowed "
    "range, and the "
    "process then ends. `jasmined --settings FILE --print-settings` prints the "
    "settings in force, "
    "defaults included. A number is written with its unit, such as `200ms`, "
    "`30s`, `10min` or "
    "`256KiB`.\n"
    "\n"
    "This page follows the tables in `packages/settings/src/`; a test "
    "compares them.\n";

std::string DefaultOf(Presence presence, std::string_view default_text) {
  switch (presence) {
    case Presence::kRequired:
      return "required";
    case Presence::kOptional:
      return "none";
    case Presence::kDefaulted:
      break;
  }
  return "`" + std::string(default_text) + "`";
}

template <typename Settings>
void AppendTables(std::string& page) {
  std::string_view section;
  for (const SettingRow<Settings>& row : SettingRows<Settings>()) {
    if (row.section != section) {
      page += "\n### [" + std::string(row.section) +
              "]\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n";
      section = row.section;
    }
    page += "| `" + std::string(row.key) + "` | " +
            DefaultOf(row.presence, row.default_text) + " | " +
            DescribeAllowedValues(row.unit, row.range) + " | " +
            std::string(row.help) + " |\n";
  }
}

}  // namespace

std::string SettingsPage() {
  std::string page(kIntroduction);
  page += "\n## An instance that serves jobs (`--serve jobs`)\n";
  AppendTables<JobServerSettings>(page);
  page += "\n## An instance that serves calls (the default)\n";
  AppendTables<DaemonSettings>(page);
  return page;
}

}  // namespace jasminespar::settings
