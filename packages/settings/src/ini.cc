#include "jasminespar/settings/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace jasminespar::settings {

namespace {

/// Feeds the library line by line, so that the line of each entry is known:
/// its handler is called before the next line is read.
struct LineFeed {
  std::string_view rest;
  int line = 0;
  IniDocument document;
};

std::string_view TakeLine(LineFeed& feed) {
  const std::size_t end = feed.rest.find('\n');
  std::string_view line = feed.rest.substr(0, end);
  feed.rest.remove_prefix(end == std::string_view::npos ? feed.rest.size()
                                                        : end + 1);
  ++feed.line;
  line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
  return line;
}

/// @return what is wrong with a line, or empty.
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

/// The library reports entries only, so headers are recorded here.
void RecordSection(LineFeed& feed, std::string_view line) {
  if (line.empty() || line[0] != '[') return;
  const std::size_t end = line.find(']');
  feed.document.sections.push_back(
      {std::string(line.substr(1, end - 1)), feed.line});
}

char* ReadLine(char* buffer, int size, void* context) {
  auto& feed = *static_cast<LineFeed*>(context);
  if (feed.rest.empty()) return nullptr;
  std::string_view line = TakeLine(feed);
  const std::string_view message = CheckLine(line);
  if (!message.empty()) {
    feed.document.faults.push_back({feed.line, std::string(message)});
    line = {};
  }
  RecordSection(feed, line);
  const std::size_t length =
      std::min(line.size(), static_cast<std::size_t>(size) - 2);
  std::memcpy(buffer, line.data(), length);
  buffer[length] = '\n';
  buffer[length + 1] = '\0';
  return buffer;
}

int TakeEntry(void* context, const char* section, const char* key,
              const char* value) {
  auto& feed = *static_cast<LineFeed*>(context);
  feed.document.entries.push_back(
      {section, key, value == nullptr ? "" : value, feed.line});
  return 1;
}

}  // namespace

IniDocument ParseIni(const std::string& text) {
  LineFeed feed;
  feed.rest = text;
  ini_parse_stream(ReadLine, &feed, TakeEntry, &feed);
  return std::move(feed.document);
}

}  // namespace jasminespar::settings
