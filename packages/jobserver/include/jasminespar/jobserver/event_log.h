/// @file
/// Log of one duty: sends lines to the telemetry duty without blocking.

#ifndef JASMINESPAR_JOBSERVER_EVENT_LOG_H_
#define JASMINESPAR_JOBSERVER_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>

#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/telemetry/events.h"

namespace jasminespar::jobserver {

/// Owned by one duty, not thread-safe. Lines are dropped and counted while the
/// ring is full; the count is logged once there is room again.
class EventLog {
 public:
  explicit EventLog(runtime::Channel<ToTelemetry>& telemetry)
      : telemetry_(telemetry) {}

  void Log(telemetry::Event event,
           std::initializer_list<telemetry::Field> fields);

 private:
  runtime::Channel<ToTelemetry>& telemetry_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_EVENT_LOG_H_
