/// @file
/// Duty telemetry: renders the metrics on a thread that serves no calls.

#ifndef JASMINESPAR_DAEMON_TELEMETRY_DUTY_H_
#define JASMINESPAR_DAEMON_TELEMETRY_DUTY_H_

#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/runtime/channel.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

/// Runs on its duty's thread only.
class TelemetryDuty {
 public:
  TelemetryDuty(runtime::Channel<ToFront>& front, telemetry::Metrics& metrics)
      : front_(front), metrics_(metrics) {}

  void Handle(ToTelemetry message);

 private:
  runtime::Channel<ToFront>& front_;
  telemetry::Metrics& metrics_;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_TELEMETRY_DUTY_H_
