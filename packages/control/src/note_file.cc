#include "jasminespar/control/note_file.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string_view>

#include "jasminespar/configuration/item_keys.h"
#include "jasminespar/configuration/value_text.h"
#include "jasminespar/core/digest.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/settings/ini.h"

namespace jasminespar::control {

namespace {

using configuration::ClientAccount;
using configuration::ItemChange;
using configuration::ReleaseNote;
using configuration::Service;
using settings::IniDocument;
using settings::IniEntry;
using settings::IniError;
using settings::IniSection;
using settings::SettingError;

enum class NoteKey : std::uint8_t { kId, kBase, kTitle };

constexpr std::array<configuration::KeyRow<NoteKey>, 3> kNoteKeys{{
    {NoteKey::kId, "id", "1 to 64 letters, digits, '.', '_' or '-'",
     "Identifies the note; default: derived from text and base."},
    {NoteKey::kBase, "base", "the revision in force",
     "Revision that the note changes; default: the one in force."},
    {NoteKey::kTitle, "title", "up to 200 bytes", "Shown in the history."},
}};
static_assert(IsDense(kNoteKeys));

constexpr std::string_view kNoteSection = "note";
constexpr std::string_view kAllowedSections =
    "[note], or add, change or withdraw, then account or service, then a name";

constexpr const auto& KeysOf(const ClientAccount&) {
  return configuration::kAccountKeys;
}
constexpr const auto& KeysOf(const Service&) {
  return configuration::kServiceKeys;
}

/// The item that a section adds, changes or withdraws.
using Item = std::variant<ClientAccount, Service>;

struct ItemSection {
  ItemChange change;
  Item item;
};

/// Removes and returns the first word.
std::string_view TakeWord(std::string_view& text) {
  const std::size_t space = text.find(' ');
  const std::string_view word = text.substr(0, space);
  text.remove_prefix(std::min(word.size() + 1, text.size()));
  return word;
}

template <typename Value, typename Id>
Value FindOrDefault(const std::map<Id, Value>& items, const Id& id) {
  const auto found = items.find(id);
  if (found != items.end()) return found->second;
  Value item;
  item.id = id;
  return item;
}

/// Parses a section name such as "change account school".
/// @return the item with its values in `base`, or with default values; nothing
///     if the name is invalid.
std::optional<ItemSection> ParseSectionName(
    std::string_view name, const configuration::Configuration& base) {
  const auto change =
      ParseName(configuration::kItemChangeNames, TakeWord(name));
  const std::string_view kind = TakeWord(name);
  if (!change || !configuration::IsValidName(name)) return std::nullopt;
  const std::string id(name);
  const bool is_new = *change == ItemChange::kAdd;
  if (kind == "account") {
    return ItemSection{
        *change, is_new ? FindOrDefault<ClientAccount, ClientAccountId>(
                              {}, ClientAccountId{id})
                        : FindOrDefault(base.accounts, ClientAccountId{id})};
  }
  if (kind == "service") {
    return ItemSection{
        *change, is_new ? FindOrDefault<Service, ServiceId>({}, ServiceId{id})
                        : FindOrDefault(base.services, ServiceId{id})};
  }
  return std::nullopt;
}

template <typename Value, typename Id>
void AddChange(configuration::Changes<Value, Id>& changes, ItemChange change,
               const Value& item) {
  switch (change) {
    case ItemChange::kAdd:
      changes.added.push_back(item);
      break;
    case ItemChange::kChange:
      changes.changed.push_back(item);
      break;
    case ItemChange::kWithdraw:
      changes.withdrawn.push_back(item.id);
      break;
  }
}

/// Includes the base, because the same file on another base is another note.
std::string DeriveNoteId(const std::string& text, Revision base) {
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "note-%016llx",
                static_cast<unsigned long long>(SeededHash(text, base.value)));
  return buffer;
}

class Parser {
 public:
  Parser(const std::string& text, const std::string& file_name,
         const configuration::Configuration& base)
      : base_(base), document_(settings::ParseIni(text)) {
    file_.file = file_name;
    file_.note.id = {DeriveNoteId(text, base.revision)};
    file_.note.base = base.revision;
  }

  std::variant<NoteFile, std::vector<SettingError>> Run() {
    for (const IniError& error : document_.errors) {
      AddError(error.line, "", "", error.message, "");
    }
    for (const IniSection& section : document_.sections) ParseSection(section);
    for (const IniEntry& entry : document_.entries) ParseEntry(entry);
    for (const std::string& name : section_order_) {
      const ItemSection& section = items_.at(name);
      std::visit(
          Overloaded{[&](const ClientAccount& account) {
                       AddChange(file_.note.accounts, section.change, account);
                     },
                     [&](const Service& service) {
                       AddChange(file_.note.services, section.change, service);
                     }},
          section.item);
    }
    if (errors_.empty()) return std::move(file_);
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const SettingError& a, const SettingError& b) {
                       return a.line < b.line;
                     });
    return std::move(errors_);
  }

 private:
  void ParseSection(const IniSection& section) {
    const auto [line, first] =
        file_.lines.try_emplace({section.name, ""}, section.line);
    if (!first) {
      AddError(
          section.line, section.name, "",
          "the section already began in line " + std::to_string(line->second),
          "");
      return;
    }
    if (section.name == kNoteSection) return;
    std::optional<ItemSection> item = ParseSectionName(section.name, base_);
    if (!item) {
      AddError(section.line, section.name, "", "unknown section",
               std::string(kAllowedSections));
      return;
    }
    items_.emplace(section.name, std::move(*item));
    section_order_.push_back(section.name);
  }

  void ParseEntry(const IniEntry& entry) {
    const auto [line, first] =
        file_.lines.try_emplace({entry.section, entry.key}, entry.line);
    if (!first) {
      AddError(entry.line, entry.section, entry.key,
               "already set in line " + std::to_string(line->second), "");
      return;
    }
    if (entry.section == kNoteSection) {
      ParseNoteEntry(entry);
      return;
    }
    const auto found = items_.find(entry.section);
    if (found == items_.end()) {
      if (!entry.section.empty()) return;  // The section is reported already.
      AddError(entry.line, "", entry.key, "stands before any section",
               std::string(kAllowedSections));
      return;
    }
    if (found->second.change == ItemChange::kWithdraw) {
      AddError(entry.line, entry.section, entry.key,
               "a withdrawal takes no keys", "");
      return;
    }
    std::visit([&](auto& item) { ParseItemEntry(entry, item); },
               found->second.item);
  }

  void ParseNoteEntry(const IniEntry& entry) {
    const std::optional<NoteKey> key = ParseName(kNoteKeys, entry.key);
    if (!key) {
      AddError(entry.line, entry.section, entry.key, "unknown key",
               "id, base, title");
      return;
    }
    const std::optional<std::int64_t> number =
        configuration::ParseNumber(configuration::Unit::kCount, entry.value);
    bool valid = true;
    switch (*key) {
      case NoteKey::kId:
        file_.note.id = {entry.value};
        valid = configuration::IsValidName(entry.value);
        break;
      case NoteKey::kBase:
        file_.note.base = {static_cast<std::uint64_t>(number.value_or(0))};
        valid = number == static_cast<std::int64_t>(base_.revision.value);
        break;
      case NoteKey::kTitle:
        file_.note.title = entry.value;
        break;
    }
    if (valid) return;
    std::string allowed(RowOf(kNoteKeys, *key).allowed);
    if (*key == NoteKey::kBase) {
      allowed += ", " + std::to_string(base_.revision.value);
    }
    AddError(entry.line, entry.section, entry.key,
             "not a valid value: " + entry.value, allowed);
  }

  template <typename Value>
  void ParseItemEntry(const IniEntry& entry, Value& item) {
    const auto& rows = KeysOf(item);
    const auto key = ParseName(rows, entry.key);
    if (!key) {
      std::string names;
      for (const auto& row : rows) {
        names += (names.empty() ? "" : ", ") + std::string(row.name);
      }
      AddError(entry.line, entry.section, entry.key, "unknown key", names);
      return;
    }
    if (SetFromText(item, *key, entry.value) && InRange(item, *key)) return;
    AddError(entry.line, entry.section, entry.key,
             "not a valid value: " + entry.value,
             std::string(RowOf(rows, *key).allowed));
  }

  void AddError(int line, std::string section, std::string key,
                std::string message, std::string allowed) {
    errors_.push_back({file_.file, line, std::move(section), std::move(key),
                       std::move(message), std::move(allowed)});
  }

  const configuration::Configuration& base_;
  IniDocument document_;
  NoteFile file_;
  std::map<std::string, ItemSection> items_;
  std::vector<std::string> section_order_;  // Valid sections, in file order.
  std::vector<SettingError> errors_;
};

}  // namespace

std::variant<NoteFile, std::vector<SettingError>> ParseNoteFile(
    const std::string& text, const std::string& file_name,
    const configuration::Configuration& base) {
  return Parser(text, file_name, base).Run();
}

SettingError Locate(const NoteFile& file,
                    const configuration::NoteError& error) {
  SettingError located{file.file,     0, error.section, error.key,
                       error.message, ""};
  for (const auto& [name, line] : file.lines) {
    const auto& [section, key] = name;
    // The section of a capacity error is "account school", without the change.
    if (!section.ends_with(error.section)) continue;
    if (key == error.key) {
      located.line = line;
      break;
    }
    if (key.empty()) located.line = line;
  }
  return located;
}

}  // namespace jasminespar::control
