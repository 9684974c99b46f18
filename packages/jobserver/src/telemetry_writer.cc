#include "jasminespar/jobserver/telemetry_writer.h"

#include <cstdio>
#include <memory>
#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::jobserver {

namespace {

/// Lines that arrive within this time are written in one block.
constexpr Duration kFlushDelay = 100ms;

}  // namespace

TelemetryWriter::TelemetryWriter(runtime::Duty& duty,
                                 const configuration::Address& address,
                                 const http::ServerLimits& limits,
                                 telemetry::Metrics& metrics)
    : metrics_(metrics),
      server_(
          duty.context(), address.host, address.port, limits,
          [this](http::Request request,
                 const std::shared_ptr<http::ConnectionState>&)
              -> boost::asio::awaitable<http::Response> {
            http::Response response;
            if (http::PathOf(request.target) == "/metrics") {
              response.body = metrics_.Render();
            } else {
              response.status = HttpStatusOf(Reason::kNotFound);
            }
            co_return response;
          },
          [this](Reason reason) {
            metrics_.CountRefusal(reason);
            http::Response response;
            response.status = HttpStatusOf(reason);
            return response;
          }),
      flush_timer_(duty.context()) {}

void TelemetryWriter::Start() { server_.Start(); }

void TelemetryWriter::Handle(ToTelemetry message) {
  std::visit(Overloaded{[this](LogLine& line) { block_ += line.text; }},
             message);
  if (std::exchange(flush_scheduled_, true)) return;
  flush_timer_.expires_after(kFlushDelay);
  flush_timer_.async_wait([this](const boost::system::error_code& error) {
    flush_scheduled_ = false;
    if (!error) Flush();
  });
}

void TelemetryWriter::Flush() {
  // Blocks only this duty when the reader of stdout is slow.
  std::fwrite(block_.data(), 1, block_.size(), stdout);
  std::fflush(stdout);
  block_.clear();
}

}  // namespace jasminespar::jobserver
