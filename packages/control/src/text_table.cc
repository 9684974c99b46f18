#include "jasminespar/control/text_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jasminespar::control {

namespace {

using Json = nlohmann::json;

std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
  return text;
}

void AppendLine(std::string& text, const TextRow& row,
                const std::vector<std::size_t>& widths) {
  for (std::size_t i = 0; i < row.size(); ++i) {
    std::string cell = Printable(row[i]);
    if (i + 1 < row.size()) cell.resize(widths[i] + 2, ' ');
    text += cell;
  }
  text += '\n';
}

std::string TextOf(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const Json* FindObjectArray(const Json& json) {
  if (!json.is_object()) return nullptr;
  for (const auto& member : json) {
    if (member.is_array() && !member.empty() && member[0].is_object()) {
      return &member;
    }
  }
  return nullptr;
}

/// @return the keys of the first object: "id", then the others by name.
TextRow ColumnsOf(const Json& objects) {
  TextRow columns;
  for (const auto& [name, value] : objects[0].items()) columns.push_back(name);
  const auto id = std::find(columns.begin(), columns.end(), "id");
  if (id != columns.end()) std::rotate(columns.begin(), id, id + 1);
  return columns;
}

}  // namespace

std::string FormatTable(const TextRow& header,
                        const std::vector<TextRow>& rows) {
  std::vector<std::size_t> widths(header.size());
  for (std::size_t i = 0; i < header.size(); ++i) {
    widths[i] = header[i].size();
    for (const TextRow& row : rows) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  AppendLine(text, header, widths);
  for (const TextRow& row : rows) AppendLine(text, row, widths);
  return text;
}

std::string TableOfJson(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  const Json* objects = FindObjectArray(json);
  if (objects == nullptr) return std::string(text) + "\n";
  const TextRow columns = ColumnsOf(*objects);
  std::vector<TextRow> rows;
  for (const Json& element : *objects) {
    TextRow row;
    for (const std::string& column : columns) {
      const bool present = element.is_object() && element.contains(column);
      row.push_back(present ? TextOf(element[column]) : "");
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(columns, rows);
}

}  // namespace jasminespar::control
