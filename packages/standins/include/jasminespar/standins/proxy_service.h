/// @file
/// Admin service of the fault-injecting proxy, which sets routes and faults.

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

/// `POST /admin/routes` with `[{"name", "protocol": "tcp"|"udp", "port",
/// "target_port"}]` adds routes. `POST /admin/faults` with `{"route": prefix,
/// ...}` replaces the faults of every route whose name starts with the prefix;
/// the other keys are those of ParseLinkFaults. `GET /admin/stats` returns
/// traffic counters by route. Use on one thread.
class ProxyService {
 public:
  /// @param admin_port TCP port on 127.0.0.1, 0 for a free one.
  ProxyService(boost::asio::io_context& context, std::uint16_t admin_port,
               std::uint64_t seed);

  void Start() { server_.Start(); }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  using Route =
      std::variant<std::shared_ptr<TcpRoute>, std::shared_ptr<UdpRoute>>;

  boost::asio::awaitable<http::Response> Handle(http::Request request);
  http::Response HandleAdmin(const http::Request& request);
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
