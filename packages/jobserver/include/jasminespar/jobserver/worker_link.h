/// @file
/// Duty worker link: sends orders to workers and returns their answers.

#ifndef JASMINESPAR_JOBSERVER_WORKER_LINK_H_
#define JASMINESPAR_JOBSERVER_WORKER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "jasminespar/http/client.h"
#include "jasminespar/jobserver/messages.h"
#include "jasminespar/runtime/duty.h"
#include "jasminespar/site/codec.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::jobserver {

/// Runs on its duty's thread only. Makes no decisions: an order without an
/// answer is reported as unanswered.
class WorkerLink {
 public:
  WorkerLink(runtime::Duty& duty, const site::WorkerCodec& codec,
             runtime::Channel<ToDispatch>& dispatch,
             telemetry::Metrics& metrics);

  void Handle(ToWorkers message);

 private:
  boost::asio::awaitable<void> Forward(ForwardOrder forward);
  [[nodiscard]] std::shared_ptr<http::Client> ClientOf(
      const jobs::SendOrder& order);

  runtime::Duty& duty_;
  site::WorkerCodec codec_;
  runtime::Channel<ToDispatch>& dispatch_;
  telemetry::Metrics& metrics_;
  using Address = std::pair<std::string, std::uint16_t>;
  std::map<Address, std::shared_ptr<http::Client>> clients_;
};

}  // namespace jasminespar::jobserver

#endif  // JASMINESPAR_JOBSERVER_WORKER_LINK_H_
