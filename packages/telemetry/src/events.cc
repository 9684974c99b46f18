#include "jasminespar/telemetry/events.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::telemetry {

namespace {

constexpr char kLastControlCharacter = 0x1f;

bool NeedsQuotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           return c == ' ' || c == '"' || c == '=' || c == '\\' ||
                  (c >= 0 && c <= kLastControlCharacter);
         });
}

/// Escapes quotes, backslashes and control characters, so that a text from a
/// client cannot inject a second log line.
void AppendEscaped(std::string& line, char c) {
  if (c == '"' || c == '\\') {
    line += '\\';
    line += c;
  } else if (c >= 0 && c <= kLastControlCharacter) {
    char buffer[8];
    std::snprintf(buffer, sizeof(buffer), "\\x%02x", c);
    line += buffer;
  } else {
    line += c;
  }
}

void AppendText(std::string& line, std::string_view text) {
  if (!NeedsQuotes(text)) {
    line += text;
    return;
  }
  line += '"';
  for (const char c : text) AppendEscaped(line, c);
  line += '"';
}

}  // namespace

void Field::AppendTo(std::string& line) const {
  line += key_;
  line += '=';
  std::visit(Overloaded{
                 [&](std::string_view text) { AppendText(line, text); },
                 [&](std::int64_t number) { line += std::to_string(number); },
                 [&](double number) { line += std::to_string(number); },
                 [&](bool flag) { line += flag ? "true" : "false"; },
             },
             value_);
}

std::string FormatEvent(Event event, std::initializer_list<Field> fields) {
  const EventRow& row = RowOf(kEvents, event);
  std::string line =
      "event=" + std::to_string(row.number) + " name=" + std::string(row.name);
  for (const Field& field : fields) {
    line += ' ';
    field.AppendTo(line);
  }
  return line;
}

void LogEvent(Event event, std::initializer_list<Field> fields) {
  switch (RowOf(kEvents, event).severity) {
    case Severity::kVerbose:
      VLOG(1) << FormatEvent(event, fields);
      break;
    case Severity::kInfo:
      LOG(INFO) << FormatEvent(event, fields);
      break;
    case Severity::kWarning:
      LOG(WARNING) << FormatEvent(event, fields);
      break;
    case Severity::kError:
      LOG(ERROR) << FormatEvent(event, fields);
      break;
  }
}

void StartLogging(const std::string& program, const std::string& folder) {
  FLAGS_logtostderr = folder.empty();
  FLAGS_log_dir = folder;
  google::InitGoogleLogging(program.c_str());
}

}  // namespace jasminespar::telemetry
