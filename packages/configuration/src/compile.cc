#include "jasminespar/configuration/compile.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "jasminespar/configuration/item_keys.h"
#include "jasminespar/configuration/split.h"
#include "jasminespar/configuration/value_text.h"

namespace jasminespar::configuration {

namespace {

// Type name and key table of each item type, for the checks below.
constexpr std::string_view KindOf(const ClientAccount&) { return "account"; }
constexpr std::string_view KindOf(const Service&) { return "service"; }
constexpr const auto& KeysOf(const ClientAccount&) { return kAccountKeys; }
constexpr const auto& KeysOf(const Service&) { return kServiceKeys; }

std::string SectionOf(ItemChange change, std::string_view kind,
                      const std::string& id) {
  return std::string(RowOf(kItemChangeNames, change).name) + " " +
         std::string(kind) + " " + id;
}

bool IsValidTitle(const std::string& title) {
  return title.size() <= kMaxTitleBytes &&
         std::none_of(title.begin(), title.end(),
                      [](unsigned char c) { return c < ' '; });
}

class NoteChecker {
 public:
  NoteChecker(const Configuration& previous, const ReleaseNote& note,
              const std::vector<CellTopology>& cells)
      : previous_(previous), note_(note), cells_(cells) {
    for (const CellTopology& cell : cells) {
      data_centres_.insert(DataCentreOf(cell.id));
    }
  }

  std::variant<Configuration, std::vector<NoteError>> Run() {
    CheckNote();
    CheckChanges(note_.accounts, previous_.accounts, ClientAccount{});
    CheckChanges(note_.services, previous_.services, Service{});
    for (const ClientAccount& account : note_.accounts.added) {
      CheckGuarantees(ItemChange::kAdd, account);
    }
    for (const ClientAccount& account : note_.accounts.changed) {
      CheckGuarantees(ItemChange::kChange, account);
    }
    if (!errors_.empty()) return std::move(errors_);
    Configuration next = *Apply(previous_, note_);
    CheckCapacity(next);
    if (!errors_.empty()) return std::move(errors_);
    return next;
  }

 private:
  void CheckNote() {
    if (!IsValidName(note_.id.value)) {
      AddError("note", "id",
               "not a valid name; allowed: " +
                   std::string(RowOf(kUnitNames, Unit::kName).help));
    }
    if (note_.base != previous_.revision) {
      AddError("note", "base",
               std::to_string(note_.base.value) +
                   " is not the revision in force; allowed: " +
                   std::to_string(previous_.revision.value));
    }
    if (!IsValidTitle(note_.title)) {
      AddError("note", "title",
               "too long or not printable; allowed: up to " +
                   std::to_string(kMaxTitleBytes) + " bytes");
    }
  }

  template <typename Item, typename Id>
  void CheckChanges(const Changes<Item, Id>& changes,
                    const std::map<Id, Item>& existing, const Item& item_type) {
    const std::size_t items = changes.added.size() + changes.changed.size() +
                              changes.withdrawn.size();
    if (items > kMaxNoteItems) {
      AddError(
          "note", std::string(KindOf(item_type)),
          "too many items; allowed: up to " + std::to_string(kMaxNoteItems));
      return;
    }
    std::set<Id> seen_ids;
    for (const Item& item : changes.added) {
      CheckId(ItemChange::kAdd, KindOf(item_type), item.id, existing, seen_ids);
      CheckRanges(ItemChange::kAdd, item);
    }
    for (const Item& item : changes.changed) {
      CheckId(ItemChange::kChange, KindOf(item_type), item.id, existing,
              seen_ids);
      CheckRanges(ItemChange::kChange, item);
    }
    for (const Id& id : changes.withdrawn) {
      CheckId(ItemChange::kWithdraw, KindOf(item_type), id, existing, seen_ids);
    }
  }

  template <typename Item, typename Id>
  void CheckId(ItemChange change, std::string_view kind, const Id& id,
               const std::map<Id, Item>& existing, std::set<Id>& seen_ids) {
    const std::string section = SectionOf(change, kind, id.value);
    if (!IsValidName(id.value)) {
      AddError(section, "",
               "not a valid name; allowed: " +
                   std::string(RowOf(kUnitNames, Unit::kName).help));
      return;
    }
    if (!seen_ids.insert(id).second) {
      AddError(section, "", "the note names it more than once");
    }
    const bool exists = existing.contains(id);
    if (change == ItemChange::kAdd && exists) {
      AddError(section, "", "exists already");
    }
    if (change != ItemChange::kAdd && !exists) {
      AddError(section, "", "does not exist");
    }
  }

  template <typename Item>
  void CheckRanges(ItemChange change, const Item& item) {
    for (const auto& row : KeysOf(item)) {
      if (InRange(item, row.value)) continue;
      AddError(SectionOf(change, KindOf(item), item.id.value),
               std::string(row.name),
               "out of range; allowed: " + std::string(row.allowed));
    }
    CheckDataCentres(change, item);
  }

  void CheckDataCentres(ItemChange, const ClientAccount&) {}

  void CheckDataCentres(ItemChange change, const Service& service) {
    for (const DataCentreId& id : service.data_centres) {
      if (data_centres_.contains(id)) continue;
      AddError(SectionOf(change, KindOf(service), service.id.value),
               std::string(RowOf(kServiceKeys, ServiceKey::kDataCentres).name),
               "no workers are listed in data centre " + id.value);
    }
  }

  void CheckGuarantees(ItemChange change, const ClientAccount& account) {
    std::set<ShapeLevel> levels;
    for (const Guarantee& guarantee : account.guarantees) {
      if (levels.insert(guarantee.level).second) continue;
      AddError(
          SectionOf(change, KindOf(account), account.id.value),
          std::string(RowOf(kAccountKeys, GuaranteeKey(guarantee.level)).name),
          "given more than once");
    }
  }

  /// @return whether the note raises a guarantee of the account.
  [[nodiscard]] bool RaisesGuarantee(const ClientAccount& account) const {
    const auto before = previous_.accounts.find(account.id);
    for (const Guarantee& guarantee : account.guarantees) {
      const std::uint32_t had =
          before == previous_.accounts.end()
              ? 0
              : GuaranteedCount(before->second, guarantee.level);
      if (guarantee.count > had) return true;
    }
    return false;
  }

  void CheckCapacity(const Configuration& next) {
    const auto raises = [&](const ClientAccount& account) {
      return RaisesGuarantee(account);
    };
    const auto& [added, changed, withdrawn] = note_.accounts;
    if (std::none_of(added.begin(), added.end(), raises) &&
        std::none_of(changed.begin(), changed.end(), raises)) {
      return;
    }
    for (const UnplacedGuarantee& unplaced : Split(next, cells_, {}).unplaced) {
      AddError(
          "account " + unplaced.account.value,
          std::string(
              RowOf(kAccountKeys, GuaranteeKey(unplaced.missing.level)).name),
          "the live workers cannot hold " +
              std::to_string(unplaced.missing.count) +
              " of the shapes beside all other guarantees");
    }
  }

  void AddError(std::string section, std::string key, std::string message) {
    errors_.push_back({std::move(section), std::move(key), std::move(message)});
  }

  const Configuration& previous_;
  const ReleaseNote& note_;
  const std::vector<CellTopology>& cells_;
  std::set<DataCentreId> data_centres_;
  std::vector<NoteError> errors_;
};

}  // namespace

std::string ToString(const NoteError& error) {
  std::string text = "[" + error.section + "] ";
  if (!error.key.empty()) text += error.key + ": ";
  return text + error.message;
}

std::variant<Configuration, std::vector<NoteError>> Compile(
    const Configuration& previous, const ReleaseNote& note,
    const std::vector<CellTopology>& cells) {
  return NoteChecker(previous, note, cells).Run();
}

}  // namespace jasminespar::configuration
