#include "jasminespar/jobserver/event_log.h"

#include <utility>

#include "jasminespar/runtime/clock.h"

namespace jasminespar::jobserver {

namespace {

std::string LineOf(telemetry::Event event,
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
    ++left_out_;
    return;
  }
  if (left_out_ > 0) {
    const std::uint64_t count = std::exchange(left_out_, 0);
    telemetry_.Send(LogLine{
        LineOf(telemetry::Event::kLogLinesLeftOut, {{"count", count}})});
  }
  telemetry_.Send(LogLine{LineOf(event, fields)});
}

}  // namespace jasminespar::jobserver
