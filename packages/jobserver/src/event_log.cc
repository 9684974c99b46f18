#include "jasminespar/jobserver/event_log.h"

#include <utility>

#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

namespace {

std::string FormatLine(telemetry::Event event,
                       std::initializer_list<telemetry::Field> fields) {
  std::string line = "ts=" + std::to_string(runtime::WallMilliseconds());
  line += ' ';
  line += telemetry::FormatEvent(event, fields);
  line += '\n';
  return line;
}

}  // namespace

void EventLog::Log(telemetry::Event event,
                   std::initializer_list<telemetry::Field> fields) {
  if (telemetry_.congested()) {
    ++dropped_lines_;
    return;
  }
  if (dropped_lines_ > 0) {
    const std::uint64_t count = std::exchange(dropped_lines_, 0);
    telemetry_.Send(LogLine{
        FormatLine(telemetry::Event::kLogLinesLeftOut, {{"count", count}})});
  }
  telemetry_.Send(LogLine{FormatLine(event, fields)});
}

}  // namespace jasminespar::jobserver
