#include "fleet/table_messages.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminespar::fleet {

namespace {

using Json = nlohmann::json;

constexpr int kPreconditionFailed = 412;

std::string Unescape(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string Query(const http::Request& request, std::string_view name) {
  return Unescape(http::QueryOf(request.target, name));
}

site::RowKey KeyOf(const Json& json) {
  return {json.at("table"), json.at("part"), json.at("key")};
}

site::Transaction ToTransaction(const Json& json) {
  site::Transaction transaction;
  for (const Json& entry : json.at("expected_rev")) {
    transaction.conditions.push_back({KeyOf(entry), {entry.at("ver")}});
  }
  for (const Json& entry : json.at("upserts")) {
    transaction.writes.push_back({KeyOf(entry), entry.at("value"), {}});
  }
  for (const Json& entry : json.at("deletes")) {
    transaction.deletes.push_back(KeyOf(entry));
  }
  return transaction;
}

Json ToJson(const std::vector<site::Row>& rows) {
  Json array = Json::array();
  for (const site::Row& row : rows) {
    Json entry{{"table", row.key.table},
               {"part", row.key.partition},
               {"key", row.key.key},
               {"ver", row.version.value}};
    if (row.deleted) {
      entry["deleted"] = true;
    } else {
      entry["value"] = row.value;
    }
    array.push_back(std::move(entry));
  }
  return array;
}

}  // namespace

std::optional<site::TableRequest> ToTableRequest(const http::Request& request) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/jasminespar/rows-tx") {
    return ToTransaction(Json::parse(request.body));
  }
  if (path == "/jasminespar/rows-get") {
    const std::string limit = Query(request, "limit");
    return site::RowRange{Query(request, "table"), Query(request, "part"),
                          Query(request, "from"), Query(request, "to"),
                          limit.empty() ? 0 : std::stoul(limit)};
  }
  if (path == "/jasminespar/rows-feed") {
    return site::Watch{
        Query(request, "table"),
        {std::stoull(Query(request, "after"))},
        std::chrono::milliseconds(std::stoll(Query(request, "wait_ms")))};
  }
  return std::nullopt;
}

http::Response ToResponse(const site::TableOutcome& outcome) {
  http::Response response;
  Json body;
  if (const auto* committed = std::get_if<site::Committed>(&outcome)) {
    body["ver"] = committed->version.value;
  } else if (const auto* conflict = std::get_if<site::Conflict>(&outcome)) {
    response.status = kPreconditionFailed;
    body["rows"] = ToJson(conflict->current);
  } else if (const auto* page = std::get_if<site::RowPage>(&outcome)) {
    body = {{"rows", ToJson(page->rows)},
            {"has_more", page->has_more},
            {"ver", page->version.value}};
  }
  response.body = body.dump();
  return response;
}

}  // namespace jasminespar::fleet
