#include "jasminespar/codec/configuration_json.h"

#include <utility>

#include "json_reader.h"

namespace jasminespar::codec {

namespace {

using configuration::CellShare;
using configuration::Changes;
using configuration::ClientAccount;
using configuration::Configuration;
using configuration::Guarantee;
using configuration::ReleaseNote;
using configuration::Service;

Json ToJson(const ClientAccount& account) {
  Json guarantees = Json::array();
  for (const Guarantee& guarantee : account.guarantees) {
    guarantees.push_back(
        {{"level",
          RowOf(configuration::kShapeLevelNames, guarantee.level).name},
         {"count", guarantee.count}});
  }
  return {{"id", account.id.value},
          {"weight", account.weight},
          {"max_waiting_calls", account.max_waiting_calls},
          {"guarantees", std::move(guarantees)}};
}

Json ToJson(const Service& service) {
  Json data_centres = Json::array();
  for (const DataCentreId& id : service.data_centres) {
    data_centres.push_back(id.value);
  }
  return {{"id", service.id.value},
          {"max_body_bytes", service.max_body_bytes},
          {"default_deadline_ms", ToMilliseconds(service.default_deadline)},
          {"answer_retention_ms", ToMilliseconds(service.answer_retention)},
          {"data_centres", std::move(data_centres)}};
}

template <typename Item, typename Id>
Json ToJson(const Changes<Item, Id>& changes) {
  Json json = {{"added", Json::array()},
               {"changed", Json::array()},
               {"withdrawn", Json::array()}};
  for (const Item& item : changes.added) json["added"].push_back(ToJson(item));
  for (const Item& item : changes.changed) {
    json["changed"].push_back(ToJson(item));
  }
  for (const Id& id : changes.withdrawn) json["withdrawn"].push_back(id.value);
  return json;
}

Json ToJson(const ReleaseNote& note) {
  return {{"id", note.id.value},
          {"base", note.base.value},
          {"title", note.title},
          {"accounts", ToJson(note.accounts)},
          {"services", ToJson(note.services)}};
}

void ReadItem(ObjectReader& reader, ClientAccount& account) {
  reader.Read("id", Presence::kRequired, account.id.value);
  reader.Read("weight", Presence::kOptional, account.weight);
  reader.Read("max_waiting_calls", Presence::kOptional,
              account.max_waiting_calls);
  reader.ReadEach("guarantees", Presence::kOptional,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.errors());
                    Guarantee guarantee;
                    member.ReadName("level", Presence::kRequired,
                                    configuration::kShapeLevelNames,
                                    guarantee.level);
                    member.Read("count", Presence::kRequired, guarantee.count);
                    member.ReportUnknownMembers();
                    account.guarantees.push_back(guarantee);
                  });
}

void ReadItem(ObjectReader& reader, Service& service) {
  reader.Read("id", Presence::kRequired, service.id.value);
  reader.Read("max_body_bytes", Presence::kOptional, service.max_body_bytes);
  reader.ReadMilliseconds("default_deadline_ms", Presence::kOptional,
                          service.default_deadline);
  reader.ReadMilliseconds("answer_retention_ms", Presence::kOptional,
                          service.answer_retention);
  reader.ReadIds("data_centres", Presence::kOptional, service.data_centres);
}

void ReadItem(ObjectReader& reader, ReleaseNote& note);

template <typename Item>
void ReadItems(ObjectReader& reader, std::string_view name, Presence presence,
               std::vector<Item>& items) {
  reader.ReadEach(name, presence,
                  [&](const Json& json, const std::string& path) {
                    ObjectReader member(json, path, reader.errors());
                    Item item;
                    ReadItem(member, item);
                    member.ReportUnknownMembers();
                    items.push_back(std::move(item));
                  });
}

template <typename Item, typename Id>
void ReadChanges(ObjectReader& reader, std::string_view name,
                 Changes<Item, Id>& changes) {
  const Json* json = reader.FindObject(name, Presence::kOptional);
  if (json == nullptr) return;
  ObjectReader member(*json, reader.PathOf(name), reader.errors());
  ReadItems(member, "added", Presence::kOptional, changes.added);
  ReadItems(member, "changed", Presence::kOptional, changes.changed);
  member.ReadIds("withdrawn", Presence::kOptional, changes.withdrawn);
  member.ReportUnknownMembers();
}

void ReadItem(ObjectReader& reader, ReleaseNote& note) {
  reader.Read("id", Presence::kRequired, note.id.value);
  reader.Read("base", Presence::kRequired, note.base.value);
  reader.Read("title", Presence::kOptional, note.title);
  ReadChanges(reader, "accounts", note.accounts);
  ReadChanges(reader, "services", note.services);
}

/// Reads an array into a map keyed by id; a duplicate id is an error.
template <typename Item, typename Id>
void ReadMap(ObjectReader& reader, std::string_view name,
             std::map<Id, Item>& items) {
  std::vector<Item> list;
  ReadItems(reader, name, Presence::kRequired, list);
  for (Item& item : list) {
    const Id id = item.id;
    if (items.emplace(id, std::move(item)).second) continue;
    reader.errors().Add(reader.PathOf(name), "holds " + id.value + " twice");
  }
}

}  // namespace

std::string EncodeNote(const ReleaseNote& note) { return Dump(ToJson(note)); }

Parsed<ReleaseNote> ParseNote(std::string_view text, UnknownMembers unknown) {
  return ParseObject<ReleaseNote>(
      text, unknown,
      [](ObjectReader& reader, ReleaseNote& note) { ReadItem(reader, note); });
}

std::string EncodeNotes(const std::vector<ReleaseNote>& notes) {
  Json list = Json::array();
  for (const ReleaseNote& note : notes) list.push_back(ToJson(note));
  return Dump({{"notes", std::move(list)}});
}

Parsed<std::vector<ReleaseNote>> ParseNotes(std::string_view text) {
  return ParseObject<std::vector<ReleaseNote>>(
      text, UnknownMembers::kIgnore,
      [](ObjectReader& reader, std::vector<ReleaseNote>& notes) {
        ReadItems(reader, "notes", Presence::kRequired, notes);
      });
}

std::string EncodeConfiguration(const Configuration& configuration) {
  Json json = {{"revision", configuration.revision.value},
               {"accounts", Json::array()},
               {"services", Json::array()}};
  for (const auto& [id, account] : configuration.accounts) {
    json["accounts"].push_back(ToJson(account));
  }
  for (const auto& [id, service] : configuration.services) {
    json["services"].push_back(ToJson(service));
  }
  return Dump(json);
}

Parsed<Configuration> ParseConfiguration(std::string_view text) {
  return ParseObject<Configuration>(
      text, UnknownMembers::kIgnore,
      [](ObjectReader& reader, Configuration& configuration) {
        reader.Read("revision", Presence::kRequired,
                    configuration.revision.value);
        ReadMap(reader, "accounts", configuration.accounts);
        ReadMap(reader, "services", configuration.services);
      });
}

std::string EncodeShares(const CellShares& shares) {
  Json cells = Json::array();
  for (const auto& [id, share] : shares) {
    Json accounts = Json::array();
    for (const ClientAccount& account : share.accounts) {
      accounts.push_back(ToJson(account));
    }
    cells.push_back({{"id", id.value},
                     {"revision", share.revision.value},
                     {"accounts", std::move(accounts)}});
  }
  return Dump({{"cells", std::move(cells)}});
}

Parsed<CellShares> ParseShares(std::string_view text) {
  return ParseObject<CellShares>(
      text, UnknownMembers::kIgnore,
      [](ObjectReader& reader, CellShares& shares) {
        reader.ReadEach("cells", Presence::kRequired,
                        [&](const Json& json, const std::string& path) {
                          ObjectReader member(json, path, reader.errors());
                          CellId id;
                          CellShare share;
                          member.Read("id", Presence::kRequired, id.value);
                          member.Read("revision", Presence::kRequired,
                                      share.revision.value);
                          ReadItems(member, "accounts", Presence::kRequired,
                                    share.accounts);
                          shares[id] = std::move(share);
                        });
      });
}

}  // namespace jasminespar::codec
