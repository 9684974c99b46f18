/// @file
/// Admin service of the fault-injecting proxy: routes and their faults.

#ifndef JASMINESPAR_STANDINS_PROXY_SERVICE_H_
#define JASMINESPAR_STANDINS_PROXY_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "jasminespar/http/message.h"
#include "jasminespar/http/server.h"
#include "jasminespar/standins/tcp_route.h"
#include "jasminespar/standins/udp_route.h"

namespace jasminespar::standins {

/// `POST /admin/routes`: `[{"name", "protocol": "tcp"|"udp", "port",
/// "target_port"}]` adds routes. `POST /admin/faults`: `{"route": prefix,
/// ...}` sets the faults of every route whose name starts with the prefix; a
/// route without the key keeps none. `GET /admin/stats`: what passed.
/// Use on one thread.
class ProxyService {
 public:
  ProxyService(boost::asio::io_context& context, std::uint16_t admin_port,
               std::uint64_t seed);

  void Start() { server_.Start(); }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  using Route =
      std::variant<std::shared_ptr<TcpRoute>, std::shared_ptr<UdpRoute>>;

  boost::asio::awaitable<http::Response> Handle(http::Request request);
  http::Response Perform(const http::Request& request);
  void AddRoute(const nlohmann::json& route);
  void SetFaults(const std::string& prefix, const LinkFaults& faults);
  [[nodiscard]] http::Response Statistics() const;

  boost::asio::io_context& context_;
  std::uint64_t seed_;
  std::map<std::string, Route> routes_;
  http::Server server_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_PROXY_SERVICE_H_
