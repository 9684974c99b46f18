/// @file
/// HTTP service of the stand-in endpoint of one worker.

#ifndef JASMINESPAR_STANDINS_ENDPOINT_SERVICE_H_
#define JASMINESPAR_STANDINS_ENDPOINT_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "jasminespar/http/message.h"
#include "jasminespar/http/server.h"
#include "jasminespar/standins/endpoint_model.h"

namespace jasminespar::standins {

/// Faults injected into the HTTP responses of one endpoint.
struct EndpointTransportFaults {
  bool dead = false;  ///< Its tasks are lost and no request is answered.
  bool truncate_answers = false;       ///< Send half of each answer's body.
  double drop_answer_probability = 0;  ///< Of each response; 0 to 1.
};

/// Serves the endpoint protocol and the admin paths of one worker. Use on one
/// thread.
class EndpointService {
 public:
  /// @param port TCP port on 127.0.0.1, 0 for a free one.
  /// @param checkpoints must outlive the service.
  EndpointService(boost::asio::io_context& context,
                  const EndpointSettings& settings, std::uint16_t port,
                  Checkpoints& checkpoints);

  void Start() { server_.Start(); }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] WorkerId worker() const { return model_.settings().worker; }

  /// Handles a request to a path below /admin/.
  http::Response HandleAdmin(const http::Request& request);

  /// @return all runs and accepted orders so far, including those from before
  ///     a restart.
  [[nodiscard]] nlohmann::json Runs() const;

  /// @return the worker's number of accelerators and how many are occupied.
  [[nodiscard]] nlohmann::json Occupancy() const;

 private:
  boost::asio::awaitable<http::Response> Handle(http::Request request);
  boost::asio::awaitable<http::Response> Report(http::Request request);
  /// Waits until the model changes or restarts, or until the deadline.
  boost::asio::awaitable<void> WaitForChange(TimePoint deadline);
  http::Response HandleTask(const http::Request& request, TimePoint now);
  http::Response Order(const http::Request& request, const TaskKey& key,
                       const Sender& sender, TimePoint now);
  http::Response Stop(const http::Request& request, const TaskKey& key,
                      const Sender& sender, TimePoint now);
  http::Response AnswerOf(const TaskKey& key) const;
  void ApplyFaults(const nlohmann::json& body, TimePoint now);
  /// Wakes the waiting reports if the model has changed, and sets the timer to
  /// the model's next event.
  void OnModelChanged();

  boost::asio::io_context& context_;
  EndpointModel model_;
  EndpointTransportFaults transport_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::set<std::shared_ptr<boost::asio::steady_timer>> waiting_reports_;
  std::uint64_t notified_change_ = 0;
  std::uint64_t notified_restarts_ = 0;
  http::Server server_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_SERVICE_H_
