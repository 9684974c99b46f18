/// @file
/// HTTP service of one stand-in endpoint.

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

/// Faults of the transport of one endpoint.
struct EndpointTransportFaults {
  bool dead = false;  ///< Lost its tasks and answers nothing.
  bool truncate_answers = false;
  double drop_answer_probability = 0;
};

/// Use on one thread.
class EndpointService {
 public:
  /// @param checkpoints outlives the service.
  EndpointService(boost::asio::io_context& context,
                  const EndpointSettings& settings, std::uint16_t port,
                  Checkpoints& checkpoints);

  void Start() { server_.Start(); }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] WorkerId worker() const { return model_.settings().worker; }

  /// Answers a request to a path below /admin/.
  http::Response Administer(const http::Request& request);

  /// @return every start and accepted order so far.
  [[nodiscard]] nlohmann::json Runs() const;

  /// @return accelerators of the worker and how many are occupied.
  [[nodiscard]] nlohmann::json Occupancy() const;

 private:
  boost::asio::awaitable<http::Response> Handle(http::Request request);
  boost::asio::awaitable<http::Response> Report(http::Request request);
  boost::asio::awaitable<void> WaitForChange(TimePoint deadline);
  http::Response HandleTask(const http::Request& request, TimePoint now);
  http::Response Order(const http::Request& request, const TaskKey& key,
                       const Sender& sender, TimePoint now);
  http::Response Stop(const http::Request& request, const TaskKey& key,
                      const Sender& sender, TimePoint now);
  http::Response AnswerOf(const TaskKey& key) const;
  void ApplyFaults(const nlohmann::json& body, TimePoint now);
  void Settle();

  boost::asio::io_context& context_;
  EndpointModel model_;
  EndpointTransportFaults transport_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::set<std::shared_ptr<boost::asio::steady_timer>> waiters_;
  std::uint64_t seen_change_ = 0;
  std::uint64_t seen_restarts_ = 0;
  http::Server server_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_ENDPOINT_SERVICE_H_
