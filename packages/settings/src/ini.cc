#include "jasminespar/settings/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace jasminespar::settings {

namespace {

/// Passes the text to the INI library line by line. The library calls the entry
/// handler before it reads the next line, so `line` is the line of the entry.
struct LineReader {
  std::string_view rest;  ///< Text that is not yet read.
  int line = 0;           ///< Number of the last line read, from 1.
  IniDocument document;
};

/// Removes the next line from the text.
/// @return the line without leading spaces and tabs.
std::string_view TakeLine(LineReader& reader) {
  const std::size_t end = reader.rest.find('\n');
  std::string_view line = reader.rest.substr(0, end);
  reader.rest.remove_prefix(end == std::string_view::npos ? reader.rest.size()
                                                          : end + 1);
  ++reader.line;
  line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
  return line;
}

/// @return what is wrong with a line; empty if it is valid.
std::string_view CheckLine(std::string_view line) {
  if (line.size() > kMaxIniLineBytes) return "the line is too long";
  if (line.find('\0') != std::string_view::npos) {
    return "the line holds a zero byte";
  }
  if (line.empty() || line[0] == ';' || line[0] == '#' || line[0] == '\r') {
    return {};
  }
  if (line[0] == '[') {
    return line.find(']') == std::string_view::npos
               ? "the section's name is not closed by ']'"
               : std::string_view{};
  }
  if (line.find_first_of("=:") == std::string_view::npos) {
    return "neither a section nor 'key = value'";
  }
  return {};
}

/// Records a section header: the library reports only entries, so a section
/// without entries would be lost.
void RecordSection(LineReader& reader, std::string_view line) {
  if (line.empty() || line[0] != '[') return;
  const std::size_t end = line.find(']');
  reader.document.sections.push_back(
      {std::string(line.substr(1, end - 1)), reader.line});
}

/// Reader callback of the INI library. Records a malformed line as an error and
/// passes an empty line in its place.
char* ReadLine(char* buffer, int size, void* context) {
  auto& reader = *static_cast<LineReader*>(context);
  if (reader.rest.empty()) return nullptr;
  std::string_view line = TakeLine(reader);
  const std::string_view message = CheckLine(line);
  if (!message.empty()) {
    reader.document.errors.push_back({reader.line, std::string(message)});
    line = {};
  }
  RecordSection(reader, line);
  const std::size_t length =
      std::min(line.size(), static_cast<std::size_t>(size) - 2);
  std::memcpy(buffer, line.data(), length);
  buffer[length] = '\n';
  buffer[length + 1] = '\0';
  return buffer;
}

/// Entry callback of the INI library.
/// @return nonzero, to continue.
int RecordEntry(void* context, const char* section, const char* key,
                const char* value) {
  auto& reader = *static_cast<LineReader*>(context);
  reader.document.entries.push_back(
      {section, key, value == nullptr ? "" : value, reader.line});
  return 1;
}

}  // namespace

IniDocument ParseIni(const std::string& text) {
  LineReader reader;
  reader.rest = text;
  ini_parse_stream(ReadLine, &reader, RecordEntry, &reader);
  return std::move(reader.document);
}

}  // namespace jasminespar::settings
