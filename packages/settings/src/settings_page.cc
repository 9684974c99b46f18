#include <string>

#include "jasminespar/settings/daemon_settings.h"
#include "jasminespar/settings/settings_table.h"

namespace jasminespar::settings {

namespace {

constexpr std::string_view kIntroduction =
    "# Settings of `jasmined`\n"
    "\n"
    "One INI file, read once at the start: `jasmined --settings FILE`. "
    "Comments start with `;` "
    "or `#`. Every fault is reported at once, with file, line, key and allowed "
    "range, and the "
    "process then ends. `jasmined --settings FILE --print-settings` prints the "
    "settings in force, "
    "defaults included. A number is written with its unit, such as `200ms`, "
    "`30s`, `10min` or "
    "`256KiB`.\n"
    "\n"
    "This page follows the table in `packages/settings/src/settings_table.cc`; "
    "a test compares "
    "them.\n";

std::string DefaultOf(const SettingRow& row) {
  switch (row.presence) {
    case Presence::kRequired:
      return "required";
    case Presence::kOptional:
      return "none";
    case Presence::kDefaulted:
      break;
  }
  return "`" + std::string(row.default_text) + "`";
}

}  // namespace

std::string SettingsPage() {
  std::string page(kIntroduction);
  std::string_view section;
  for (const SettingRow& row : SettingRows()) {
    if (row.section != section) {
      page += "\n## [" + std::string(row.section) +
              "]\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n";
      section = row.section;
    }
    page += "| `" + std::string(row.key) + "` | " + DefaultOf(row) + " | " +
            AllowedOf(row) + " | " + std::string(row.help) + " |\n";
  }
  return page;
}

}  // namespace jasminespar::settings
