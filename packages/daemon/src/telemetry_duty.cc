#include "jasminespar/daemon/telemetry_duty.h"

#include "jasminespar/core/overloaded.h"

namespace jasminespar::daemon {

void TelemetryDuty::Handle(ToTelemetry message) {
  std::visit(Overloaded{[this](const MetricsRequested& request) {
               front_.Send(MetricsRendered{request.number, metrics_.Render()});
             }},
             message);
}

}  // namespace jasminespar::daemon
